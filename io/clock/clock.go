// Package clock reads the time on a clock that also counts while the VM is suspended, unlike Go's monotonic clock.
//
// Times of this clock compare with one another only. The timers and deadlines of the runtime count on Go's own clock: see
// [Deadline].
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts from its creation.
type Clock struct {
	// elapsed returns the time since an arbitrary moment, suspensions included.
	elapsed func() time.Duration
	start   time.Time
	// origin is what elapsed returned at start.
	origin time.Duration
}

// New returns a clock that counts by a function, which returns the time since an arbitrary moment.
//
//	c := clock.New(clock.SinceBoot)
//	started := c.Now()
func New(elapsed func() time.Duration) *Clock {
	return &Clock{elapsed: elapsed, start: time.Now(), origin: elapsed()}
}

// Now returns the present time.
func (c *Clock) Now() time.Time { return c.start.Add(c.elapsed() - c.origin) }

// processStart is when the process started, on Go's clock.
var processStart = time.Now()

// SinceBoot returns the time since the VM started, suspensions included; without such a clock, the time since the process
// started.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var system = New(SinceBoot)

// Now returns the present time.
func Now() time.Time { return system.Now() }

// Since returns the time since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Deadline returns when t will be on Go's clock unless the VM is suspended before, for the deadlines of the runtime.
func Deadline(t time.Time) time.Time { return time.Now().Add(Until(t)) }
