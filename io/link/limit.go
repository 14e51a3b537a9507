package link

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxHeader bounds the head of an answer of an [http.Transport], in bytes.
const MaxHeader = 64 << 10

// ErrLongBody means that the body of an answer exceeds its bound.
var ErrLongBody = errors.New("the body of the answer exceeds the maximum size")

// LimitBody bounds what is read of the body of an answer, in bytes. Reading further fails with [ErrLongBody].
//
//	link.LimitBody(response, 1<<20)
func LimitBody(response *http.Response, most int64) {
	response.Body = &limitedBody{ReadCloser: response.Body, left: most}
}

// limitedBody is a body with a bound.
type limitedBody struct {
	io.ReadCloser
	// left is the number of bytes that may still be read, negative once more were there.
	left int64
}

// Read implements [io.Reader].
func (b *limitedBody) Read(p []byte) (n int, err error) {
	if b.left < 0 {
		return 0, ErrLongBody
	}
	// One byte more shows whether the body ends at its bound.
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err = b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n - 1, ErrLongBody
	}
	return n, err
}

// limitTransport bounds the bodies of all answers.
type limitTransport struct {
	base http.RoundTripper
	most int64
}

// NewLimitTransport returns a transport that bounds the bodies of the answers of base as [LimitBody] does. A nil base means
// [http.DefaultTransport].
//
//	client := &http.Client{Transport: link.NewLimitTransport(nil, 1<<20)}
func NewLimitTransport(base http.RoundTripper, most int64) http.RoundTripper {
	if base == nil {
		base = http.DefaultTransport
	}
	return &limitTransport{base, most}
}

// RoundTrip implements [http.RoundTripper].
func (t *limitTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	if response, err = t.base.RoundTrip(r); err != nil {
		return nil, err
	}
	LimitBody(response, t.most)
	return response, nil
}

// CloseIdleConnections closes those of the base, for [http.Client.CloseIdleConnections].
func (t *limitTransport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// LimitClient returns a copy of a client that bounds the bodies of answers as [LimitBody] does. A nil client means [http.DefaultClient].
func LimitClient(client *http.Client, most int64) *http.Client {
	if client == nil {
		client = http.DefaultClient
	}
	limited := *client
	limited.Transport = NewLimitTransport(client.Transport, most)
	return &limited
}
