package entry

import (
	"log/slog"

	"cicadavalve/core/roster"
	"cicadavalve/io/engine"
)

// Option sets one property of a [Daemon].
type Option func(*Daemon)

// WithLogger sets the daemon's logger.
func WithLogger(log *slog.Logger) Option {
	return func(d *Daemon) { d.log = log }
}

// WithGate sets a function that the loop calls before it handles each message. Tests use it to pause the entry.
func WithGate(gate func()) Option {
	return func(d *Daemon) { d.gate = gate }
}

// WithStarted sets a function that is called with the daemon's own addresses once its ports are open.
func WithStarted(started func(roster.Member)) Option {
	return func(d *Daemon) { d.started = started }
}

// WithUpstreamDialer sets what opens the connections to upstreams. Tests use it to cut them.
func WithUpstreamDialer(dial engine.DialFunc) Option {
	return func(d *Daemon) { d.upstreamDial = dial }
}

// WithCacheSecret sets the key for cache salts, request digests and the names of stored contexts. It must be the
// same on every entry.
func WithCacheSecret(secret []byte) Option {
	return func(d *Daemon) { d.cacheSecret = secret }
}
