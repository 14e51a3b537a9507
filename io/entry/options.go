package entry

import (
	"log/slog"

	"cicadavalve/core/roster"
)

// Option sets one property of a [Daemon].
type Option func(*Daemon)

// WithLogger sets where the daemon logs.
func WithLogger(log *slog.Logger) Option {
	return func(d *Daemon) { d.log = log }
}

// WithGate calls a function before each message that the loop handles, so that a test can pause the entry.
func WithGate(gate func()) Option {
	return func(d *Daemon) { d.gate = gate }
}

// WithStarted calls a function with the daemon's own addresses once its ports are open.
func WithStarted(started func(roster.Member)) Option {
	return func(d *Daemon) { d.started = started }
}

// WithCacheSecret sets the key of the organisations' cache salts; every entry has the same one.
func WithCacheSecret(secret []byte) Option {
	return func(d *Daemon) { d.cacheSecret = secret }
}
