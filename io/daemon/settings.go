// Package daemon assembles an entry whose routes, upstreams and organisations come from the operators' records
// in a shared log. It owns the models that decide, feeds them with events and performs their commands.
package daemon

import (
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
)

// Settings configure a daemon at its start.
type Settings struct {
	Name string
	IP   string
	Zone ident.Zone
	// Seeds are addresses of other daemons; they may be out of date.
	Seeds []string
	// Front, Ready, Control and Directory are the addresses to listen at; Control may be empty.
	Front, Ready, Control, Directory string
	// FirstPort to LastPort are free for traffic between daemons.
	FirstPort, LastPort int
	// Memory is the memory limit of the process, in bytes.
	Memory int64
	// Files is the maximum number of open file descriptors.
	Files int
	// FirstStart is set if all entries start for the first time, so that the store holds nothing of theirs.
	FirstStart bool
	// Heartbeat is the interval at which upstreams register, 0 if it is not known.
	Heartbeat time.Duration
	// Grace is the grace period: the time from the stop signal until the process must have ended.
	Grace time.Duration
	// Lease is how long a holder that falls silent keeps the lease on giving orders.
	Lease time.Duration
	// Fenced reports whether engines refuse orders with outdated fencing tokens.
	Fenced bool
	// VersionGrace is how long requests may begin on older weights after newer ones were announced.
	VersionGrace time.Duration
	// RetryRatio, RetryWindow and RetryAllowance set the retry budget that all daemons share: within a sliding window of
	// RetryWindow, RetryRatio retries per first attempt plus RetryAllowance retries.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// ExposeShare and ExposeSlack bound the requests to a bad release while it is rolled out: a share of all requests to its
	// service, and a number.
	ExposeShare, ExposeSlack float64
	// UsageWindow is the length of the windows for which usage is reported, 0 if none is. UsageDelay is how long after the end of a
	// window its report is due.
	UsageWindow, UsageDelay time.Duration
	// Scaling is set if the daemons order the number of upstreams.
	Scaling bool
	// Recall is set if requests whose first byte is overdue are sent to another upstream.
	Recall bool
	// LeaveZone is set if the daemon decides by itself when leaving the availability zone pays. Otherwise that has a fixed cost.
	LeaveZone bool
	// DutyRate is how many calls a second the provider takes from all daemons together, 0 if that is not known.
	DutyRate float64
	// Shares is set if engine time is divided between organisations while requests wait or are refused.
	Shares bool
}

// portsNeeded is the number of internal ports: one for datagrams between daemons, one for metrics.
const portsNeeded = 2

// Check returns an error that names every setting that is missing or out of range.
func (s Settings) Check() (err error) {
	require := func(name string, bad bool) {
		if bad {
			err = errors.CombineErrors(err, errors.Newf("setting %s is missing or out of range", name))
		}
	}
	require("ip", s.IP == "")
	require("zone", s.Zone == "")
	require("listen.front", s.Front == "")
	require("listen.ready", s.Ready == "")
	require("listen.directory", s.Directory == "")
	require("internal_ports", s.FirstPort <= 0 || s.LastPort-s.FirstPort+1 < portsNeeded)
	require("limits.memory_mb", s.Memory <= 0)
	require("bounds.grace_s", s.Grace <= 0)
	require("bounds.lease_ms", s.Lease <= 0)
	require("bounds.version_ms", s.VersionGrace <= 0)
	require("bounds.budget_window_s", s.RetryWindow <= 0)
	return err
}
