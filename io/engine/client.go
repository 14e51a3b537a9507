package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
	"github.com/tmaxmax/go-sse"

	"cicadavalve/core/sched"
	"cicadavalve/io/link"
)

// Errors of an attempt; [Cause] maps each to a [sched.Cause].
var (
	ErrConnect = errors.New("no connection was made")
	ErrRefused = errors.New("the upstream refused the request")
	ErrBroken  = errors.New("the connection or the stream broke")
	ErrSilent  = errors.New("the upstream sent no event of the answer in time")
)

// ErrSkipEvent is returned by a sink to skip an event that is not part of the answer; reading continues.
var ErrSkipEvent = errors.New("the event is not part of the answer")

// maxReplyBytes bounds the reply of a plain service; a larger one is an error rather than truncated.
const maxReplyBytes = 1 << 20

// maxReportBytes bounds a load report and the outcome of an order.
const maxReportBytes = 1 << 20

// HTTPClient is a [Client] over HTTP.
type HTTPClient struct {
	idlePerHost int
	pooled      *http.Client
	// fresh opens a connection for each request.
	fresh *http.Client
	// control fetches load reports.
	control *http.Client
}

// Option sets one property of an [HTTPClient].
type Option func(*HTTPClient)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WithDialer sets the dialer of connections for requests.
func WithDialer(dial DialFunc) Option {
	return func(c *HTTPClient) { c.setDialer(dial) }
}

// WithControlDialer sets the dialer of connections for load reports.
func WithControlDialer(dial DialFunc) Option {
	return func(c *HTTPClient) {
		c.control = &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: link.MaxHeader}}
	}
}

// NewHTTPClient returns a client that keeps up to idlePerHost idle connections per upstream.
func NewHTTPClient(connectTimeout time.Duration, idlePerHost int, options ...Option) *HTTPClient {
	c := &HTTPClient{idlePerHost: idlePerHost}
	c.setDialer((&net.Dialer{Timeout: connectTimeout}).DialContext)
	c.control = c.pooled
	for _, o := range options {
		o(c)
	}
	return c
}

func (c *HTTPClient) setDialer(dial DialFunc) {
	c.pooled = withoutRedirects(link.NewTransport(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: c.idlePerHost, MaxResponseHeaderBytes: link.MaxHeader}))
	c.fresh = withoutRedirects(link.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: link.MaxHeader}))
}

// withoutRedirects returns a client that follows no redirects, as a redirect would send a call twice.
func withoutRedirects(t http.RoundTripper) *http.Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: t, CheckRedirect: noRedirect}
}

// CloseIdle closes the connections that no request uses.
func (c *HTTPClient) CloseIdle() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Cause classifies an error of an attempt; an unmarked error is [sched.CauseInvalid].
func Cause(err error) sched.Cause {
	switch {
	case errors.Is(err, ErrConnect):
		return sched.CauseConnect
	case errors.Is(err, ErrRefused):
		return sched.CauseRefused
	case errors.Is(err, ErrSilent):
		return sched.CauseSilent
	case errors.Is(err, ErrBroken):
		return sched.CauseBroken
	}
	return sched.CauseInvalid
}

// Complete implements [Client].
func (c *HTTPClient) Complete(ctx context.Context, t Target, body Completion, sink func(Event) error) (err error) {
	defer func() { err = errors.Wrapf(err, "complete on %s", t.Address) }()
	req, err := sling.New().Post("http://" + t.Address + "/v1/completions").BodyJSON(body).Request()
	if err != nil {
		return err
	}
	w := newWatchdog(ctx, t.SilenceTimeout)
	defer w.stop()
	resp, err := c.send(w, t, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	err = readEvents(w, resp.Body, sink)
	c.closeIdleIfSilent(err)
	return err
}

// closeIdleIfSilent closes the idle connections after a silence timeout: a device on the path that lost the state
// of one connection may have lost that of the others.
func (c *HTTPClient) closeIdleIfSilent(err error) {
	if errors.Is(err, ErrSilent) {
		c.pooled.CloseIdleConnections()
	}
}

// Call implements [Client].
func (c *HTTPClient) Call(ctx context.Context, t Target, call Call) (reply Reply, err error) {
	defer func() { err = errors.Wrapf(err, "call on %s", t.Address) }()
	url := "http://" + t.Address + "/call/" + string(call.Service) + "/" + call.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return reply, err
	}
	// net/http would resend a request that has GetBody or an Idempotency-Key header.
	req.GetBody = nil
	req.Header.Set("Content-Type", call.ContentType)
	if call.Key != "" {
		req.Header.Set("X-Call-Key", call.Key)
	}
	w := newWatchdog(ctx, t.SilenceTimeout)
	defer w.stop()
	resp, err := c.send(w, t, req)
	if err != nil {
		return reply, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err == nil && len(raw) > maxReplyBytes {
		err = errors.Newf("the reply is larger than %d bytes", maxReplyBytes)
	}
	if err != nil {
		return reply, w.markCause(err)
	}
	return Reply{resp.StatusCode, resp.Header.Get("Content-Type"), raw}, nil
}

// Load implements [Client].
func (c *HTTPClient) Load(ctx context.Context, address string) (load sched.Load, err error) {
	defer func() { err = errors.Wrapf(err, "load of %s", address) }()
	req, err := sling.New().Get("http://"+address+"/load").Set("User-Agent", "").Request()
	if err != nil {
		return load, err
	}
	resp, err := c.control.Do(req.WithContext(ctx))
	if err != nil {
		return load, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return load, errors.Newf("status %d", resp.StatusCode)
	}
	link.LimitBody(resp, maxReportBytes)
	err = json.NewDecoder(resp.Body).Decode(&load)
	return load, err
}

// cancelBody is the body of POST /v1/cancel on a model engine.
type cancelBody struct {
	RequestID string `json:"request_id"`
}

// Cancel implements [Client]. It opens a new connection, since the one of the answer may be lost.
func (c *HTTPClient) Cancel(ctx context.Context, address, id string) (err error) {
	defer func() { err = errors.Wrapf(err, "cancel on %s", address) }()
	req, err := sling.New().Post("http://" + address + "/v1/cancel").BodyJSON(cancelBody{id}).Request()
	if err != nil {
		return err
	}
	resp, err := c.fresh.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// send sends a request. An error is marked ErrConnect only if no byte of the request can have been written, and
// is ErrRefused if the upstream reports that it did not run the request.
func (c *HTTPClient) send(w *watchdog, t Target, req *http.Request) (resp *http.Response, err error) {
	client := c.pooled
	if t.FreshConnection {
		client = c.fresh
	}
	resp, err = client.Do(req.WithContext(w.ctx))
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, errors.Mark(err, ErrConnect)
	}
	if err != nil {
		err = w.markCause(err)
		c.closeIdleIfSilent(err)
		return nil, err
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Not-Run") == "true" {
		_ = resp.Body.Close()
		return nil, ErrRefused
	}
	return resp, nil
}

// readEvents passes events to sink until doneMarker, and restarts the watchdog after each one that sink accepts.
func readEvents(w *watchdog, body io.Reader, sink func(Event) error) (err error) {
	for raw, err := range sse.Read(body, nil) {
		if err != nil {
			return w.markCause(err)
		}
		if raw.Data == doneMarker {
			return nil
		}
		var e Event
		if err := json.Unmarshal([]byte(raw.Data), &e); err != nil {
			return errors.Mark(err, ErrBroken)
		}
		err := sink(e)
		if errors.Is(err, ErrSkipEvent) {
			continue
		}
		if err != nil {
			return err
		}
		w.reset()
	}
	return w.markCause(io.ErrUnexpectedEOF)
}

// doneMarker is the data of the last server-sent event.
const doneMarker = "[DONE]"
