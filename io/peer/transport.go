package peer

import (
	"net/http"
	"time"
)

// Health bounds how long a connection that has gone silent is used, and one without use is kept.
type Health struct {
	// Idle is how long a connection may bring nothing before it is asked for a sign of life, and
	// Answer how long that may take before the connection is closed.
	Idle   time.Duration
	Answer time.Duration
	// Unused is how long a connection is kept on which nothing is asked: each costs its signs of life.
	Unused time.Duration
}

// HealthOf is the health of connections on which something is asked at an interval: a silent one is
// closed before a third question in a row goes without an answer.
func HealthOf(interval time.Duration) Health {
	return Health{Idle: interval * 3 / 2, Answer: interval / 2, Unused: keptIntervals * interval}
}

// keptIntervals is how many intervals an unused connection is kept.
const keptIntervals = 5

// defaultInterval is the interval of an entry's questions unless its settings say otherwise.
const defaultInterval = time.Second

func (h Health) config() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: h.Idle, PingTimeout: h.Answer}
}

// NewTransport carries the protocol in plain text over HTTP/2, whose header compression spares most
// of what a small question costs.
//
//	client := peer.NewClient(&http.Client{Transport: peer.NewTransport(nil, peer.HealthOf(time.Second))}, address)
func NewTransport(dial DialFunc, h Health) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{DialContext: dial, Protocols: protocols, HTTP2: h.config(), IdleConnTimeout: h.Unused}
}
