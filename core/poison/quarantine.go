package poison

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
)

// quarantine is a request in quarantine.
type quarantine struct {
	// losses are those that the request explains.
	losses []Loss
	since  time.Time
	// trialLoss is the last loss on a trial, the same for parts that were tried together; before the first trial in
	// quarantine, the last of the losses that led to it.
	trialLoss Loss
	// tried is how often a part in quarantine was tried again, triedAt when last, or when it was doubted, and lastTrial
	// the id of the last such trial.
	tried     int
	triedAt   time.Time
	lastTrial string
	// doubted is set once [Model.Doubt] has allowed one more trial.
	doubted bool
}

// quarantineIfProven quarantines a request if enough of its losses are confirmed, with the one on its trial.
func (m *Model) quarantineIfProven(now time.Time, d Digest) []ident.Cmd {
	losses, proven := m.confirmedLosses(d)
	if !proven || m.isOutweighed(d) {
		return nil
	}
	m.quarantine(d, losses, now, 0)
	return m.publish(now, m.quarantineRecord(d, losses, now))
}

// isOutweighed reports whether another part has all the losses of a part and more: the part at fault is in each request
// that is lost, others only in some.
func (m *Model) isOutweighed(d Digest) bool {
	if !d.IsPart() {
		return false
	}
	own := m.claimsOf(d)
	for _, other := range m.claims.Keys() {
		claims := m.claimsOf(other)
		if !other.IsPart() || len(claims) <= len(own) {
			continue
		}
		isShared := func(c claim) bool {
			return slices.ContainsFunc(claims, func(o claim) bool { return o.loss == c.loss && !o.silent })
		}
		if !slices.ContainsFunc(own, func(c claim) bool { return !isShared(c) }) {
			return true
		}
	}
	return false
}

// confirmedLosses returns the confirmed losses of a request; proven is set if they lead to its quarantine.
func (m *Model) confirmedLosses(d Digest) (losses []Loss, proven bool) {
	alone := false
	for _, c := range m.claimsOf(d) {
		if c.confirmed {
			losses = append(losses, c.loss)
			alone = alone || c.alone
		}
	}
	return losses, isProof(len(losses), alone)
}

// quarantine quarantines a request, unless all its losses were released, and drops the claims of other requests
// for the same losses. Tried is how often it was tried again since.
func (m *Model) quarantine(d Digest, losses []Loss, since time.Time, tried int) {
	if len(losses) == 0 || m.Quarantined(d) || m.isReleased(d, losses) {
		return
	}
	m.quarantined.Set(d, &quarantine{losses: losses, since: since, trialLoss: losses[len(losses)-1], tried: tried})
	m.claims.Delete(d)
	m.touch(d)
	m.dropExplained(d, losses)
	m.notify(QuarantinedCmd{Digest: d, Losses: losses, Since: since, Tried: tried})
}

// explains reports whether losses that are attributed to a key in quarantine are none of another key's. A request that
// comes again may be in quarantine because of a part, so it explains none of a part's.
func (by Digest) explains(d Digest) bool { return by.IsPart() || !d.IsPart() }

// dropExplained drops the claims for losses that are attributed to a key in quarantine, unless they may be the other key's own.
func (m *Model) dropExplained(by Digest, losses []Loss) {
	for _, d := range m.claims.Keys() {
		if !by.explains(d) || m.isRival(d, losses) {
			continue
		}
		m.dropClaimsIf(d, func(c claim) bool { return slices.Contains(losses, c.loss) })
	}
}

// isRival reports whether a key may be at fault for losses that are attributed to another one. Parts that were lost as often may have been in
// all requests that were lost, and only one of them is at fault. A request that was lost on its own trial may be the one that ended
// upstreams on which the other one came too late, but was counted first.
func (m *Model) isRival(d Digest, losses []Loss) bool {
	if d.IsPart() {
		return len(m.claimsOf(d)) >= max(len(losses), suspectAfter)
	}
	return slices.ContainsFunc(m.claimsOf(d), func(c claim) bool { return c.alone })
}

// expireQuarantines ends the quarantines that have lasted for the retention.
func (m *Model) expireQuarantines(now time.Time) {
	if m.retention == 0 {
		return
	}
	for _, d := range m.quarantined.Keys() {
		q := m.quarantineOf(d)
		if now.Sub(q.since) < m.retention {
			continue
		}
		m.release(d, q.losses)
		m.quarantined.Delete(d)
		m.notify(ExpiredCmd{Digest: d})
	}
}

// Quarantines returns the requests in quarantine.
func (m *Model) Quarantines() (all []QuarantinedCmd) {
	for _, d := range m.quarantined.Keys() {
		q := m.quarantineOf(d)
		all = append(all, QuarantinedCmd{Digest: d, Losses: q.losses, Since: q.since})
	}
	return all
}

// isExplained reports whether a loss of a key is attributed to another one in quarantine.
func (m *Model) isExplained(key Digest, loss Loss) bool {
	for _, d := range m.quarantined.Keys() {
		if d != key && d.explains(key) && slices.Contains(m.quarantineOf(d).losses, loss) {
			return true
		}
	}
	return false
}
