package cache

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// transferID identifies a transfer of this entry.
type transferID struct {
	request ident.RequestID
	// attempt is 0 for an export.
	attempt int
}

// transfer is a running import or export.
type transfer struct {
	bytes int64
	// deadline is when the transfer counts as ended although no end was reported.
	deadline time.Time
}

// link is the state of a store and of the network path to it, as this entry observes them.
type link struct {
	store   ident.UpstreamID
	zone    ident.Zone
	address string
	hash    uint64
	// listed is false once the store is no longer on the VM list; transfers may still run.
	listed  bool
	leaving bool
	// running holds the running transfers, at most this entry's share of the link when one is added.
	running map[transferID]transfer
	imports int
	exports int
	// rate is the smoothed rate of this entry's transfers, in bytes a second; 0 if none was observed.
	rate   float64
	rateAt time.Time
	// No transfer starts before pausedUntil, and no export before fullUntil.
	pausedUntil time.Time
	fullUntil   time.Time
	lastFault   Cause
}

func newLink(id ident.UpstreamID) *link {
	return &link{store: id, hash: route.HashID(id), running: map[transferID]transfer{}}
}

func (l *link) add(id transferID, t transfer) {
	l.running[id] = t
	l.count(id, 1)
}

// remove removes a transfer and reports whether it was running.
func (l *link) remove(id transferID) (running bool) {
	if _, running = l.running[id]; running {
		delete(l.running, id)
		l.count(id, -1)
	}
	return running
}

func (l *link) count(id transferID, n int) {
	if id.attempt == 0 {
		l.exports += n
	} else {
		l.imports += n
	}
}

// expire removes the transfers whose end was not reported in time.
func (l *link) expire(now time.Time) {
	for id, t := range l.running {
		if now.After(t.deadline) {
			l.remove(id)
		}
	}
}

// backlogBytes returns the total size of this entry's running transfers, an upper bound of what they
// still have to move.
func (l *link) backlogBytes() (bytes int64) {
	for _, t := range l.running {
		bytes += t.bytes
	}
	return bytes
}

// observeRate adds the rate of a finished transfer to the smoothed rate.
func (l *link) observeRate(now time.Time, bytes int64, took time.Duration) {
	if bytes <= 0 || took <= 0 {
		return
	}
	observed := float64(bytes) / took.Seconds()
	if l.rate == 0 || now.Sub(l.rateAt) > rateTTL {
		l.rate = observed
	} else {
		l.rate += (observed - l.rate) / smoothingFactor
	}
	l.rateAt = now
}

// observeTimeout lowers the rate after a transfer that took longer than the given time.
func (l *link) observeTimeout(now time.Time, bytes int64, atLeast time.Duration) {
	if atLeast <= 0 {
		return
	}
	l.rate, l.rateAt = min(l.currentRate(now, float64(bytes)/atLeast.Seconds()), float64(bytes)/atLeast.Seconds()), now
}

// currentRate returns the observed rate, or the fallback if there is none within rateTTL, so that a link
// that was slow is retried.
func (l *link) currentRate(now time.Time, fallback float64) float64 {
	if l.rate == 0 || now.Sub(l.rateAt) > rateTTL {
		return fallback
	}
	return l.rate
}

// smoothingFactor is the divisor of each new observation in the exponential averages: it counts for a quarter.
const smoothingFactor = 4

// pause stops new transfers with a store that failed, or only exports if it is full.
func (l *link) pause(now time.Time, cause Cause) {
	l.lastFault = cause
	if cause == CauseFull {
		l.fullUntil = now.Add(storePauseInterval)
		return
	}
	l.pausedUntil = now.Add(storePauseInterval)
}
