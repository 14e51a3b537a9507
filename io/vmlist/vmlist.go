// Package vmlist reads the platform's list of VMs, which lags.
package vmlist

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"cicadavalve/core/sched"
)

// List is the platform's list of VMs.
type List interface {
	// Read returns the upstreams that the list shows, and whether they changed since the last reading.
	Read(ctx context.Context) (vms []sched.Upstream, changed bool, err error)
}

// Reply is the body that answers GET /vms.
type Reply struct {
	VMs []sched.Upstream `json:"vms"`
}

// Client is a [List] over HTTP. It asks for the list only where it changed. One
// goroutine may use it at a time.
type Client struct {
	base *sling.Sling
	// tag names the list in last, or is empty where the service names none.
	tag  string
	last []sched.Upstream
}

// NewClient is a client of the list at a URL.
func NewClient(url string, client *http.Client) *Client {
	return &Client{base: sling.New().Base(url).Client(client).Set("User-Agent", "")}
}

// Read implements [List].
func (c *Client) Read(ctx context.Context) (vms []sched.Upstream, changed bool, err error) {
	defer func() { err = errors.Wrap(err, "read VM list") }()
	s := c.base.New().Get("vms")
	if c.tag != "" {
		s.Set("If-None-Match", c.tag)
	}
	req, err := s.Request()
	if err != nil {
		return nil, false, err
	}
	var reply Reply
	resp, err := s.Do(req.WithContext(ctx), &reply, nil)
	if err != nil {
		return nil, false, err
	}
	switch resp.StatusCode {
	case http.StatusNotModified:
		return c.last, false, nil
	case http.StatusOK:
		c.tag, c.last = resp.Header.Get("ETag"), reply.VMs
		return reply.VMs, true, nil
	}
	return nil, false, errors.Newf("status %d", resp.StatusCode)
}
