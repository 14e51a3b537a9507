package poison

import (
	"time"

	"cicadavalve/core/ident"
)

// An upstream may be dead while something in front of it still accepts connections and resets them. Attempts that are sent
// there after a loss break off as well, whatever they hold, so that one crash would count several times against the same
// request. Only contact with the upstream after the loss shows that there was anything to crash.

// ObserveContact records that an upstream has answered a request that was sent at a time. An opened connection is no
// contact, by this entry or another one: a proxy may have accepted it. Contacts matter only while there are losses.
func (m *Model) ObserveContact(upstream ident.UpstreamID, sentAt time.Time) {
	known, _ := m.contacts.Get(upstream)
	if !sentAt.After(known) {
		return
	}
	// The upstreams with the oldest contacts are forgotten first.
	m.contacts.Delete(upstream)
	m.contacts.Set(upstream, sentAt)
}

// isRepeat reports whether a break is no new evidence about a key: the key has a loss on the same boot from before the attempt
// began, and no contact with the upstream is known since the last break that was known by then.
func (m *Model) isRepeat(d Digest, b Break) bool {
	last, earlier := m.lastLoss(d, b)
	if !earlier {
		return false
	}
	for _, other := range m.pending[b.Loss.Upstream] {
		if at, known := m.lastLoss(other, b); known && at.After(last) {
			last = at
		}
	}
	contact, _ := m.contacts.Get(b.Loss.Upstream)
	return !contact.After(last)
}

// lastLoss returns when the last loss of a key became known, of those on the boot of a break and from before its attempt
// began.
func (m *Model) lastLoss(d Digest, b Break) (at time.Time, known bool) {
	for _, c := range m.claimsOf(d) {
		if c.loss.Upstream == b.Loss.Upstream && c.loss.Boot == b.Loss.Boot && c.since.Before(b.Started) && !c.since.Before(at) {
			at, known = c.since, true
		}
	}
	return at, known
}
