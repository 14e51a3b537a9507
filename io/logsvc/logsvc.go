// Package logsvc is the client of the platform's log service.
package logsvc

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"cicadavalve/core/ledger"
	"cicadavalve/io/link"
)

// ErrUnavailable marks failed requests to the log service. The records of a failed append may have been added all
// the same.
var ErrUnavailable = errors.New("log service unavailable")

// Service is the platform's log service.
type Service interface {
	// Append appends records to a stream in order. After an error they may or may not have been appended.
	Append(ctx context.Context, stream ledger.Stream, records []ledger.Record) error
	// Read returns records of a stream from an offset on, and waits up to wait for the first one.
	Read(ctx context.Context, stream ledger.Stream, from int64, wait time.Duration) (ledger.BatchMsg, error)
}

// AppendRequest is the body of POST /append.
type AppendRequest struct {
	Stream  ledger.Stream   `json:"stream"`
	Records []ledger.Record `json:"records"`
}

// ReadQuery is the query of GET /read.
type ReadQuery struct {
	Stream ledger.Stream `url:"stream"`
	From   int64         `url:"from"`
	WaitMs int64         `url:"wait_ms"`
}

// maxAnswer bounds an answer of the service, in bytes: a thousand records, or a snapshot of the whole state.
const maxAnswer = 64 << 20

// Client is a [Service] over HTTP.
type Client struct {
	base   *sling.Sling
	client *http.Client
}

// NewClient returns a client of the log service at a URL; a nil http.Client means [http.DefaultClient].
func NewClient(url string, client *http.Client) *Client {
	client = link.LimitClient(client, maxAnswer)
	return &Client{base: sling.New().Base(url).Client(client).Set("User-Agent", ""), client: client}
}

// Append implements [Service].
func (c *Client) Append(ctx context.Context, stream ledger.Stream, records []ledger.Record) (err error) {
	defer func() { err = errors.Wrapf(err, "append to %s", stream) }()
	body := AppendRequest{stream, records}
	return c.do(ctx, c.base.New().Post("append").BodyJSON(body), nil)
}

// Read implements [Service].
func (c *Client) Read(
	ctx context.Context, stream ledger.Stream, from int64, wait time.Duration,
) (batch ledger.BatchMsg, err error) {
	defer func() { err = errors.Wrapf(err, "read %s", stream) }()
	query := ReadQuery{stream, from, wait.Milliseconds()}
	err = c.do(ctx, c.base.New().Get("read").QueryStruct(query), &batch)
	return batch, err
}

func (c *Client) do(ctx context.Context, s *sling.Sling, into any) (err error) {
	req, err := s.Request()
	if err != nil {
		return err
	}
	resp, err := s.Do(req.WithContext(ctx), into, nil)
	if err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		return errors.Mark(errors.Newf("status %d", resp.StatusCode), ErrUnavailable)
	case into != nil && resp.ContentLength == 0:
		// Sling decodes no empty body.
		return errors.Mark(errors.Wrap(io.ErrUnexpectedEOF, "empty body"), ErrUnavailable)
	}
	return nil
}
