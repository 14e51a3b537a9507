// Package daemon assembles an entry whose routes, upstreams and organisations come from the operators' records
// in a shared log: it owns the deciders, feeds them, and performs their commands.
package daemon

import (
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
)

// Settings are what a daemon is started with.
type Settings struct {
	Name string
	IP   string
	Zone ident.Zone
	// Seeds are addresses of other daemons that may be out of date.
	Seeds []string
	// Front, Ready, Control and Directory are the addresses to listen at; Control may be empty.
	Front, Ready, Control, Directory string
	// FirstPort to LastPort are free for traffic between daemons.
	FirstPort, LastPort int
	// Memory is the most that the process may take, in bytes.
	Memory int64
	// Files is the most descriptors that the process may have.
	Files int
	// Grace is the time between the request to stop and the end.
	Grace time.Duration
	// Lease is how long a duty stays with a holder that falls silent.
	Lease time.Duration
	// Fenced tells that engines refuse orders with outdated tokens.
	Fenced bool
	// VersionTime is how long requests may begin on older weights.
	VersionTime time.Duration
	// RetryRatio, RetrySpan and RetryAllowance bound the attempts beyond the first over all daemons.
	RetryRatio     float64
	RetrySpan      time.Duration
	RetryAllowance float64
}

// portsNeeded is how many ports the daemon uses between daemons: one for datagrams, one for metrics.
const portsNeeded = 2

// Check finds every setting that the daemon can't run with.
func (s Settings) Check() (err error) {
	missing := func(name string, bad bool) {
		if bad {
			err = errors.CombineErrors(err, errors.Newf("setting %s is missing or out of range", name))
		}
	}
	missing("ip", s.IP == "")
	missing("zone", s.Zone == "")
	missing("listen.front", s.Front == "")
	missing("listen.ready", s.Ready == "")
	missing("listen.directory", s.Directory == "")
	missing("internal_ports", s.FirstPort <= 0 || s.LastPort-s.FirstPort+1 < portsNeeded)
	missing("limits.memory_mb", s.Memory <= 0)
	missing("bounds.grace_s", s.Grace <= 0)
	missing("bounds.lease_ms", s.Lease <= 0)
	missing("bounds.version_ms", s.VersionTime <= 0)
	missing("bounds.budget_window_s", s.RetrySpan <= 0)
	return err
}
