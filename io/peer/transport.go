package peer

import (
	"net/http"
	"time"
)

// Timeouts bounds how long an unresponsive connection stays in use and an idle one is kept.
type Timeouts struct {
	// PingDelay is how long no frame may arrive on a connection before a ping is sent, and PingTimeout how long
	// the answer to the ping may take before the connection is closed.
	PingDelay   time.Duration
	PingTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept; each kept connection costs pings.
	IdleTimeout time.Duration
}

// TimeoutsFor returns the timeouts for connections that carry a request per interval. An unresponsive connection is
// closed after two intervals, before a third request in a row goes unanswered.
func TimeoutsFor(interval time.Duration) Timeouts {
	return Timeouts{PingDelay: interval * 3 / 2, PingTimeout: interval / 2, IdleTimeout: maxIdleIntervals * interval}
}

// maxIdleIntervals is the number of intervals that an idle connection is kept.
const maxIdleIntervals = 5

// defaultRequestInterval is the interval between requests that [TLSTransport] assumes.
const defaultRequestInterval = time.Second

func (t Timeouts) http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: t.PingDelay, PingTimeout: t.PingTimeout}
}

// NewTransport returns a transport for plaintext HTTP/2, whose header compression saves most of the size of a small
// request.
//
//	client := peer.NewClient(&http.Client{Transport: peer.NewTransport(nil, peer.TimeoutsFor(time.Second))}, address)
func NewTransport(dial DialFunc, t Timeouts) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{DialContext: dial, Protocols: protocols, HTTP2: t.http2Config(), IdleConnTimeout: t.IdleTimeout}
}
