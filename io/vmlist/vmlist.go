// Package vmlist reads the platform's list of VMs, which lags behind the actual state.
package vmlist

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"cicadavalve/core/sched"
	"cicadavalve/io/link"
)

// List is the platform's list of VMs.
type List interface {
	// Read returns the upstreams in the list, and whether the list may have changed since the last read.
	Read(ctx context.Context) (vms []sched.Upstream, changed bool, err error)
}

// Reply is the response body of GET /vms.
type Reply struct {
	VMs []sched.Upstream `json:"vms"`
}

// maxAnswer bounds a list, in bytes: some thousand VMs of less than a kilobyte each.
const maxAnswer = 8 << 20

// Client is a [List] over HTTP. It uses conditional requests, so that an unchanged list is not sent twice. It is not
// safe for concurrent use.
type Client struct {
	base *sling.Sling
	// etag is the entity tag of the list in last, or empty if the service sent none.
	etag string
	last []sched.Upstream
}

// NewClient returns a client of the list at a URL.
func NewClient(url string, client *http.Client) *Client {
	return &Client{base: sling.New().Base(url).Client(link.LimitClient(client, maxAnswer)).Set("User-Agent", "")}
}

// Read implements [List].
func (c *Client) Read(ctx context.Context) (vms []sched.Upstream, changed bool, err error) {
	defer func() { err = errors.Wrap(err, "read VM list") }()
	s := c.base.New().Get("vms")
	if c.etag != "" {
		s.Set("If-None-Match", c.etag)
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
	switch {
	case resp.StatusCode == http.StatusNotModified:
		return c.last, false, nil
	case resp.StatusCode == http.StatusOK && resp.ContentLength == 0:
		// Sling decodes no empty body.
		return nil, false, errors.Wrap(io.ErrUnexpectedEOF, "empty body")
	case resp.StatusCode == http.StatusOK:
		c.etag, c.last = resp.Header.Get("ETag"), reply.VMs
		return reply.VMs, true, nil
	}
	return nil, false, errors.Newf("status %d", resp.StatusCode)
}
