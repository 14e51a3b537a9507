package cache

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// transferID names a transfer of this entry.
type transferID struct {
	request ident.RequestID
	// attempt is 0 for an export.
	attempt int
}

// transfer is one that runs.
type transfer struct {
	bytes int64
	// until is when the transfer has ended at the latest.
	until time.Time
}

// link is what this entry knows of a store and the way to it.
type link struct {
	store   ident.UpstreamID
	zone    ident.Zone
	address string
	hash    uint64
	// listed is false once the VM list no longer shows the store; transfers may still run.
	listed  bool
	leaving bool
	// running never holds more transfers than this entry's share of the link.
	running map[transferID]transfer
	imports int
	exports int
	// rate is the smoothed bytes a second of this entry's transfers; 0 where not known.
	rate   float64
	rateAt time.Time
	// pausedUntil keeps every transfer away, fullUntil exports.
	pausedUntil time.Time
	fullUntil   time.Time
	fault       Cause
}

func newLink(id ident.UpstreamID) *link {
	return &link{store: id, hash: route.HashID(id), running: map[transferID]transfer{}}
}

func (l *link) begin(id transferID, t transfer) {
	l.running[id] = t
	l.count(id, 1)
}

// end forgets a transfer, and reports whether it was running.
func (l *link) end(id transferID) (known bool) {
	if _, known = l.running[id]; known {
		delete(l.running, id)
		l.count(id, -1)
	}
	return known
}

func (l *link) count(id transferID, n int) {
	if id.attempt == 0 {
		l.exports += n
	} else {
		l.imports += n
	}
}

// expire forgets the transfers whose end was never told.
func (l *link) expire(now time.Time) {
	for id, t := range l.running {
		if now.After(t.until) {
			l.end(id)
		}
	}
}

// backlog is the bytes that this entry's transfers have still to move at most.
func (l *link) backlog() (bytes int64) {
	for _, t := range l.running {
		bytes += t.bytes
	}
	return bytes
}

// observe smooths the rate that a transfer had.
func (l *link) observe(now time.Time, bytes int64, took time.Duration) {
	if bytes <= 0 || took <= 0 {
		return
	}
	seen := float64(bytes) / took.Seconds()
	if l.rate == 0 || now.Sub(l.rateAt) > rateMemory {
		l.rate = seen
	} else {
		l.rate += (seen - l.rate) / smoothing
	}
	l.rateAt = now
}

// slow notes that so many bytes took longer than a time.
func (l *link) slow(now time.Time, bytes int64, took time.Duration) {
	if took <= 0 {
		return
	}
	l.rate, l.rateAt = min(l.currentRate(now, float64(bytes)/took.Seconds()), float64(bytes)/took.Seconds()), now
}

// currentRate is the observed rate, or a first guess where it is too old, so that a link that was slow is tried again.
func (l *link) currentRate(now time.Time, guess float64) float64 {
	if l.rate == 0 || now.Sub(l.rateAt) > rateMemory {
		return guess
	}
	return l.rate
}

// smoothing is the weight of what was seen before against one observation.
const smoothing = 4

// pause keeps transfers away from a store that failed.
func (l *link) pause(now time.Time, cause Cause) {
	l.fault = cause
	if cause == CauseFull {
		l.fullUntil = now.Add(storePause)
		return
	}
	l.pausedUntil = now.Add(storePause)
}
