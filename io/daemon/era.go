package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadavalve/core/fleet"
)

// announceSpread is the time over which the entries announce themselves again.
const announceSpread = time.Second

// observeEra notes the era of an answer of the store. In a newer one the store has come back from a copy and has lost
// what was written last: upstreams that are missing may register again, and what the entries wrote is written again.
// The lock is held.
func (d *Controller) observeEra(now time.Time, era int64) {
	if era <= d.era {
		return
	}
	first := d.era < 0
	if d.era = era; first {
		return
	}
	d.log.Warn("store_restored", "era", era)
	d.perform(d.fleet.Update(now, fleet.ListRestoredMsg{}))
	for _, q := range d.poison.Quarantines() {
		d.recordVerdict(now, verdict{digest: q.Digest, body: encodeBody(quarantineBody(q))})
	}
	d.poison.RememberAgain()
	d.handleEvidence(now)
	for _, ch := range d.restored {
		signal(ch)
	}
	for _, f := range d.feeds {
		signal(f.wake)
	}
}

// whenRestored returns a channel that is signalled each time the store has come back from a copy.
func (d *Controller) whenRestored() <-chan struct{} {
	ch := make(chan struct{}, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restored = append(d.restored, ch)
	return ch
}

// signal wakes the receiver of a channel with room for one signal, unless one is waiting.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// awaitRestored waits until the store has come back from a copy or the context ends, and then up to announceSpread, so
// that not all entries write at once.
func awaitRestored(ctx context.Context, restored <-chan struct{}) {
	select {
	case <-ctx.Done():
		return
	case <-restored:
	}
	select {
	case <-ctx.Done():
	case <-time.After(rand.N(announceSpread)):
	}
}
