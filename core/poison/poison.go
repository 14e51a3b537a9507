// Package poison detects and quarantines requests that crash every upstream that runs them.
//
// An upstream lost while requests are in flight counts as a loss for each of them. A request with losses on
// several upstreams is suspect: it runs alone on an upstream, on one entry at a time, which trial records in the
// log arbitrate. If that upstream is lost too, the request is quarantined on every entry. Requests are identified
// only by a keyed digest.
package poison

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

const (
	// suspectAfter is the number of losses after which a request runs alone.
	suspectAfter = 2
	// MaxLosses is the maximum number of upstreams that a request can crash if its attempts run one after another.
	MaxLosses = suspectAfter + 1
	// confirmTimeout is how long a loss counts without confirmation that the upstream restarted or became
	// unreachable.
	confirmTimeout = 3 * time.Second
	// maxDigests limits the number of requests with claims, and of those in quarantine.
	maxDigests = 4096
)

// Digest is a keyed hash of an organisation and its request.
type Digest string

// Loss describes an upstream that was lost while a request ran there, by the boot that it had at the time.
type Loss struct {
	Upstream ident.UpstreamID `json:"upstream"`
	Boot     ident.BootID     `json:"boot"`
	// EarlierLosses counts the request's losses on the same boot from before this attempt was sent: an entry
	// may retry there before it sees the new boot.
	EarlierLosses int `json:"again,omitempty"`
	// OnTrial is true if the upstream ran a weight version on trial. Such a loss counts only once it is
	// confirmed, since the version may be at fault.
	OnTrial bool `json:"on_trial,omitempty"`
}

// Standing is how a request may run.
type Standing int

// The standings, from the least to the most restricted.
const (
	// Clear requests run like any other.
	Clear Standing = iota
	// Suspect requests run on an upstream of their own.
	Suspect
	// Quarantined requests do not run.
	Quarantined
)

// claim is a loss reported by this entry or another one.
type claim struct {
	loss Loss
	// alone is true if the request was the only one that its entry had on the upstream.
	alone bool
	since time.Time
	// confirmed is true once the upstream is known to have restarted or become unreachable.
	confirmed bool
}

// Model holds one entry's evidence about crashing requests.
type Model struct {
	entry  ident.EntryID
	claims map[Digest][]claim
	// claimOrder lists the keys of claims, the oldest first.
	claimOrder []Digest
	// quarantined holds, for each request in quarantine, the losses that led to it.
	quarantined map[Digest][]Loss
	// quarantineOrder lists the keys of quarantined, the oldest first.
	quarantineOrder []Digest
	// released holds the losses of each released request up to its release; they no longer count.
	released map[Digest][]Loss
	// foldedReleases holds the ids of the folded releases, so that each is applied once.
	foldedReleases map[string]bool
	// trials holds the open trials, at most one per request.
	trials map[Digest]trial
	// occupied holds the id of the open trial on each upstream that has one.
	occupied map[ident.UpstreamID]string
	// outbox holds the records that this entry has appended but not yet folded.
	outbox []ledger.Record
	// lastResend is when the outbox was last resent, or when the first resend interval began.
	lastResend time.Time
	// next is the offset of the first record not folded yet; it never decreases.
	next int64
}

// NewModel returns a model without evidence.
//
//	m := poison.NewModel("entry-0")
//	cmds := m.RecordLoss(now, started, digest, poison.Loss{Upstream: "engine-1", Boot: boot}, false)
func NewModel(entry ident.EntryID) *Model {
	return &Model{
		entry: entry, claims: map[Digest][]claim{}, quarantined: map[Digest][]Loss{},
		released: map[Digest][]Loss{}, foldedReleases: map[string]bool{},
		trials: map[Digest]trial{}, occupied: map[ident.UpstreamID]string{},
	}
}

// Standing returns the standing of a request, by the losses that count at now. A request without a digest is
// always clear.
func (m *Model) Standing(now time.Time, d Digest) Standing {
	if _, held := m.quarantined[d]; held {
		return Quarantined
	}
	losses := 0
	for _, c := range m.claims[d] {
		if !c.isActive(now) {
			continue
		}
		if c.alone {
			return Quarantined
		}
		losses++
	}
	if losses >= suspectAfter {
		return Suspect
	}
	return Clear
}

// isActive reports whether a claim counts: it is confirmed, or pending and not on a version on trial.
func (c *claim) isActive(now time.Time) bool {
	return c.confirmed || c.isPending(now) && !c.loss.OnTrial
}

// isPending reports whether a claim is recent enough to be confirmed.
func (c *claim) isPending(now time.Time) bool {
	return now.Sub(c.since) < confirmTimeout
}

// RecordLoss records that an attempt, begun at started, broke off, and publishes the loss to the other entries.
func (m *Model) RecordLoss(now, started time.Time, d Digest, loss Loss, alone bool) []ident.Cmd {
	if d == "" {
		return nil
	}
	for _, c := range m.claims[d] {
		if c.loss.Upstream == loss.Upstream && c.loss.Boot == loss.Boot && c.since.Before(started) {
			loss.EarlierLosses++
		}
	}
	if !m.addClaim(now, d, loss, alone) {
		return nil
	}
	return m.publish(lossRecord(m.entry, d, loss, alone))
}

// addClaim adds a loss and reports whether it is new. Losses that are explained or released are ignored.
func (m *Model) addClaim(now time.Time, d Digest, loss Loss, alone bool) bool {
	if m.isExplained(loss) || slices.Contains(m.released[d], loss) {
		return false
	}
	claims, known := m.claims[d]
	for i := range claims {
		if claims[i].loss == loss {
			claims[i].alone = claims[i].alone || alone
			return false
		}
	}
	if !known {
		m.claimOrder = append(m.claimOrder, d)
	}
	m.claims[d] = append(claims, claim{loss: loss, alone: alone, since: now})
	m.evictOldest()
	return true
}

func (m *Model) evictOldest() {
	for len(m.claimOrder) > maxDigests {
		delete(m.claims, m.claimOrder[0])
		m.claimOrder = m.claimOrder[1:]
	}
	for len(m.quarantineOrder) > maxDigests {
		delete(m.quarantined, m.quarantineOrder[0])
		m.quarantineOrder = m.quarantineOrder[1:]
	}
}

// ObserveBoot records the boot that an upstream reports, which confirms the losses under any other boot of it.
func (m *Model) ObserveBoot(now time.Time, upstream ident.UpstreamID, boot ident.BootID) []ident.Cmd {
	return m.confirm(now, func(l Loss) bool { return l.Upstream == upstream && l.Boot != boot })
}

// Unreachable records that an upstream no longer answers, which confirms its losses.
func (m *Model) Unreachable(now time.Time, upstream ident.UpstreamID) []ident.Cmd {
	return m.confirm(now, func(l Loss) bool { return l.Upstream == upstream })
}

func (m *Model) confirm(now time.Time, isConfirmed func(Loss) bool) (cmds []ident.Cmd) {
	for _, d := range slices.Clone(m.claimOrder) {
		for i := range m.claims[d] {
			c := &m.claims[d][i]
			if !c.confirmed && !c.isPending(now) || !isConfirmed(c.loss) {
				continue
			}
			c.confirmed = true
		}
		cmds = append(cmds, m.quarantineIfProven(d)...)
	}
	return cmds
}

// quarantineIfProven quarantines a request if a loss in which it ran alone is confirmed.
func (m *Model) quarantineIfProven(d Digest) []ident.Cmd {
	var losses []Loss
	proven := false
	for _, c := range m.claims[d] {
		if c.confirmed {
			losses = append(losses, c.loss)
			proven = proven || c.alone
		}
	}
	if !proven {
		return nil
	}
	m.quarantine(d, losses)
	return m.publish(quarantineRecord(m.entry, d, losses))
}

// quarantine quarantines a request, unless all its losses were released, and drops the claims of other requests
// for the same losses.
func (m *Model) quarantine(d Digest, losses []Loss) {
	if _, held := m.quarantined[d]; held || m.isReleased(d, losses) {
		return
	}
	m.quarantined[d] = losses
	m.quarantineOrder = append(m.quarantineOrder, d)
	m.dropClaims(d)
	for _, other := range slices.Clone(m.claimOrder) {
		m.claims[other] = slices.DeleteFunc(m.claims[other], func(c claim) bool { return slices.Contains(losses, c.loss) })
		if len(m.claims[other]) == 0 {
			m.dropClaims(other)
		}
	}
	m.evictOldest()
}

func (m *Model) dropClaims(d Digest) {
	delete(m.claims, d)
	m.claimOrder = slices.DeleteFunc(m.claimOrder, func(s Digest) bool { return s == d })
}

// isExplained reports whether a loss is attributed to a request in quarantine.
func (m *Model) isExplained(loss Loss) bool {
	for _, d := range m.quarantineOrder {
		if slices.Contains(m.quarantined[d], loss) {
			return true
		}
	}
	return false
}

// Tick drops the claims that were not confirmed in time, expires trials and resends the outbox.
func (m *Model) Tick(now time.Time) []ident.Cmd {
	for _, d := range slices.Clone(m.claimOrder) {
		m.claims[d] = slices.DeleteFunc(m.claims[d], func(c claim) bool { return !c.confirmed && !c.isPending(now) })
		if len(m.claims[d]) == 0 {
			m.dropClaims(d)
		}
	}
	m.expireTrials(now)
	return m.resend(now)
}

// Pending reports whether a tick may have an effect: a record has not been read back, a trial is open
// or a claim is unconfirmed.
func (m *Model) Pending() bool {
	if len(m.outbox)+len(m.trials) > 0 {
		return true
	}
	for _, claims := range m.claims {
		if slices.ContainsFunc(claims, func(c claim) bool { return !c.confirmed }) {
			return true
		}
	}
	return false
}
