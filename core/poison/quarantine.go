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
}

// quarantineIfProven quarantines a request if enough of its losses are confirmed, with the one on its trial.
func (m *Model) quarantineIfProven(now time.Time, d Digest) []ident.Cmd {
	losses, proven := m.confirmedLosses(d)
	if !proven {
		return nil
	}
	m.quarantine(d, losses, now)
	return m.publish(now, m.quarantineRecord(d, losses, now))
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
// for the same losses.
func (m *Model) quarantine(d Digest, losses []Loss, since time.Time) {
	if m.Quarantined(d) || m.isReleased(d, losses) {
		return
	}
	m.quarantined.Set(d, &quarantine{losses: losses, since: since})
	m.claims.Delete(d)
	m.touch(d)
	m.dropExplained(losses)
	m.notify(QuarantinedCmd{Digest: d, Losses: losses, Since: since})
}

// dropExplained drops the claims for losses that are attributed to a request in quarantine.
func (m *Model) dropExplained(losses []Loss) {
	for _, d := range m.claims.Keys() {
		m.dropClaimsIf(d, func(c claim) bool { return slices.Contains(losses, c.loss) })
	}
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

// isExplained reports whether a loss is attributed to a request in quarantine.
func (m *Model) isExplained(loss Loss) bool {
	for _, d := range m.quarantined.Keys() {
		if slices.Contains(m.quarantineOf(d).losses, loss) {
			return true
		}
	}
	return false
}
