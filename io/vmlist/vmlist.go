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
	// Read returns the upstreams that the list shows.
	Read(ctx context.Context) ([]sched.Upstream, error)
}

// Reply is the body that answers GET /vms.
type Reply struct {
	VMs []sched.Upstream `json:"vms"`
}

// Client is a [List] over HTTP.
type Client struct {
	base *sling.Sling
}

// NewClient is a client of the list at a URL.
func NewClient(url string, client *http.Client) *Client {
	return &Client{base: sling.New().Base(url).Client(client)}
}

// Read implements [List].
func (c *Client) Read(ctx context.Context) (vms []sched.Upstream, err error) {
	defer func() { err = errors.Wrap(err, "read VM list") }()
	s := c.base.New().Get("vms")
	req, err := s.Request()
	if err != nil {
		return nil, err
	}
	var reply Reply
	resp, err := s.Do(req.WithContext(ctx), &reply, nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	return reply.VMs, nil
}
