// Package poison detects and quarantines requests, and parts of prompts, that crash every upstream that runs them.
//
// An upstream lost while requests are in flight counts as a loss for each of them. A request with losses on
// several upstreams is suspect: it runs on trial, on one entry at a time and on an upstream without another trial.
// If that upstream is lost too, the request is quarantined on every entry. A complete answer disproves the losses.
// Requests and parts are identified only by keyed digests; both are keys with evidence of their own.
//
// Entries share their evidence as records: in a log, whose order arbitrates trials, or in messages without an order
// ([WithMessages]), where a record takes effect on arrival.
package poison

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/fifo"
	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

const (
	// suspectAfter is the number of losses after which a request runs alone.
	suspectAfter = 2
	// MaxLosses is the maximum number of upstreams that a request can crash if its attempts run one after another.
	MaxLosses = suspectAfter + 1
	// defaultConfirmTimeout applies without [WithConfirmTimeout].
	defaultConfirmTimeout = 3 * time.Second
	// maxExplained limits the losses that are attributed to one request in quarantine.
	maxExplained = 64
	// maxDigests limits the number of requests with claims, and of those in quarantine.
	maxDigests = 4096
)

// Digest is a keyed hash of an organisation and its request, or of a part of prompts.
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
	// alone is true if the request was on trial.
	alone bool
	// silent is true if the upstream did not break the attempt off but sent nothing. Such a loss counts, and is
	// published, only once it is confirmed.
	silent bool
	// own is true if this entry observed the loss itself.
	own   bool
	since time.Time
	// confirmBy is when the loss stops to count unless it is confirmed.
	confirmBy time.Time
	// confirmed is true once the upstream is known to have restarted or become unreachable.
	confirmed bool
}

// Model holds one entry's evidence about crashing requests.
type Model struct {
	entry ident.EntryID
	// confirmTimeout is how long a loss counts without confirmation that the upstream restarted or became
	// unreachable.
	confirmTimeout time.Duration
	// retention is how long a quarantine lasts, 0 for no limit.
	retention time.Duration
	// sharing is nil if the entries share records in a log.
	sharing *sharing
	// events holds the changes since the last call of [Model.TakeEvents]. They are kept only with [WithMessages].
	events []ident.Cmd
	// touched holds the requests whose losses have changed since the last call of [Model.TakeEvents], remembered those
	// that are remembered outside of the entries. Both are used only with [WithMessages].
	touched    map[Digest]bool
	remembered map[Digest]remembered
	// accusedBy counts the parts, but the suspect ones, that each loss was recorded against at this entry.
	accusedBy *fifo.Map[Loss, int]
	// claims holds the losses of each request, at least one.
	claims *fifo.Map[Digest, []claim]
	// pending lists the requests with unconfirmed claims by upstream; some may be confirmed or dropped by now.
	pending map[ident.UpstreamID][]Digest
	// pendingUntil is when the last pending claim stops to count; sweptAt is when such claims were last dropped.
	pendingUntil, sweptAt time.Time
	quarantined           *fifo.Map[Digest, *quarantine]
	// contacts holds when the newest request was sent that each upstream has answered, as far as it is known.
	contacts *fifo.Map[ident.UpstreamID, time.Time]
	// released holds the losses of each request that were released or disproved; they no longer count.
	released *fifo.Map[Digest, []Loss]
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

// Option sets one property of a [Model].
type Option func(*Model)

// WithConfirmTimeout sets how long a loss counts without confirmation that the upstream restarted or became
// unreachable.
func WithConfirmTimeout(d time.Duration) Option { return func(m *Model) { m.confirmTimeout = d } }

// WithRetention sets how long a quarantine lasts. Without it, a quarantine lasts until it is released.
func WithRetention(d time.Duration) Option { return func(m *Model) { m.retention = d } }

// WithMessages makes the entries share records in messages, which may be lost, instead of a log: see [Model.Share] and
// [Model.Receive].
func WithMessages() Option {
	return func(m *Model) { m.sharing = &sharing{position: xxhash.Sum64String(string(m.entry))} }
}

// NewModel returns a model without evidence.
//
//	m := poison.NewModel("entry-0")
//	cmds := m.RecordLoss(now, started, digest, poison.Loss{Upstream: "engine-1", Boot: boot}, false)
func NewModel(entry ident.EntryID, options ...Option) *Model {
	m := &Model{
		entry: entry, confirmTimeout: defaultConfirmTimeout, claims: fifo.NewMap[Digest, []claim](maxDigests),
		pending: map[ident.UpstreamID][]Digest{}, quarantined: fifo.NewMap[Digest, *quarantine](maxDigests),
		contacts: fifo.NewMap[ident.UpstreamID, time.Time](maxDigests),
		released: fifo.NewMap[Digest, []Loss](maxDigests), accusedBy: fifo.NewMap[Loss, int](maxDigests), foldedReleases: map[string]bool{},
		touched: map[Digest]bool{}, remembered: map[Digest]remembered{}, trials: map[Digest]trial{}, occupied: map[ident.UpstreamID]string{},
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// IsEmpty reports whether every request is clear.
func (m *Model) IsEmpty() bool { return m.claims.Len()+m.quarantined.Len() == 0 }

// Counts returns the number of requests in quarantine and of the others with losses.
func (m *Model) Counts() (quarantined, withLosses int) { return m.quarantined.Len(), m.claims.Len() }

// Quarantined reports whether a request is in quarantine. [Model.Standing] also returns [Quarantined] while the loss on
// its trial is yet to be confirmed.
func (m *Model) Quarantined(d Digest) bool { return m.quarantineOf(d) != nil }

// quarantineOf returns the quarantine of a request, nil if there is none.
func (m *Model) quarantineOf(d Digest) *quarantine {
	q, _ := m.quarantined.Get(d)
	return q
}

// claimsOf returns the losses of a request.
func (m *Model) claimsOf(d Digest) []claim {
	claims, _ := m.claims.Get(d)
	return claims
}

// LastEvidence returns when a request came into quarantine or, otherwise, when its last loss became known; the zero time
// if there is neither.
func (m *Model) LastEvidence(d Digest) (at time.Time) {
	if q := m.quarantineOf(d); q != nil {
		return q.since
	}
	for _, c := range m.claimsOf(d) {
		if c.since.After(at) {
			at = c.since
		}
	}
	return at
}

// Standing returns the standing of a request, by the losses that count at now. A request without a digest is
// always clear.
func (m *Model) Standing(now time.Time, d Digest) Standing {
	if m.Quarantined(d) {
		return Quarantined
	}
	losses, alone := 0, false
	for _, c := range m.claimsOf(d) {
		if c.isActive(now) {
			losses++
			alone = alone || c.alone
		}
	}
	switch {
	case isProof(losses, alone):
		return Quarantined
	case losses >= suspectAfter:
		return Suspect
	}
	return Clear
}

// isProof reports whether a number of losses, of which one was on trial or not, leads to the quarantine.
func isProof(losses int, alone bool) bool { return alone && losses >= MaxLosses }

// isActive reports whether a claim counts: it is confirmed, or pending and in no doubt.
func (c *claim) isActive(now time.Time) bool {
	return c.confirmed || c.isPending(now) && !c.loss.OnTrial && !c.silent
}

// isPending reports whether a claim may still be confirmed.
func (c *claim) isPending(now time.Time) bool { return now.Before(c.confirmBy) }

// RecordLoss records that an attempt, begun at started, broke off, and publishes the loss to the other entries. Alone is
// set if the request was on trial.
func (m *Model) RecordLoss(now, started time.Time, d Digest, loss Loss, alone bool) []ident.Cmd {
	loss.EarlierLosses = m.countEarlier(started, d, loss)
	if d == "" || !m.addClaim(d, claim{loss: loss, alone: alone, own: true, since: now}) {
		return nil
	}
	return m.publish(now, lossRecord(m.entry, d, loss, alone, false))
}

// RecordSilence records that an attempt, begun at started, ended without a byte from its upstream. Alone is set if the
// request was on trial.
func (m *Model) RecordSilence(now, started time.Time, d Digest, loss Loss, alone bool) {
	if d == "" {
		return
	}
	loss.EarlierLosses = m.countEarlier(started, d, loss)
	m.addClaim(d, claim{loss: loss, alone: alone, silent: true, own: true, since: now})
}

// countEarlier counts the losses of a request on one boot before an attempt began.
func (m *Model) countEarlier(started time.Time, d Digest, loss Loss) (earlier int) {
	if d.IsPart() {
		// Several requests with the part may be lost with one boot.
		return 0
	}
	for _, c := range m.claimsOf(d) {
		if c.loss.Upstream == loss.Upstream && c.loss.Boot == loss.Boot && c.since.Before(started) {
			earlier++
		}
	}
	return earlier
}

// addClaim adds a loss and reports whether it adds evidence. Losses that are explained or released are ignored.
func (m *Model) addClaim(d Digest, added claim) bool {
	if q := m.quarantineOf(d); q != nil && added.alone {
		q.trialLoss = added.loss
	}
	if m.isExplained(d, added.loss) || m.isReleased(d, []Loss{added.loss}) {
		return false
	}
	if q := m.quarantineOf(d); q != nil {
		if added.silent || len(q.losses) >= maxExplained || slices.Contains(q.losses, added.loss) {
			return false
		}
		q.losses = append(q.losses, added.loss)
		m.dropExplained(d, []Loss{added.loss})
		return true
	}
	m.touch(d)
	added.confirmBy = added.since.Add(m.confirmTimeout)
	claims := m.claimsOf(d)
	for i := range claims {
		if c := &claims[i]; c.loss == added.loss {
			isNews := added.confirmed && !c.confirmed || added.alone && !c.alone || c.silent && !added.silent
			c.confirmed, c.alone, c.silent = c.confirmed || added.confirmed, c.alone || added.alone, c.silent && added.silent
			return isNews
		}
	}
	m.claims.Set(d, append(claims, added))
	if !added.confirmed {
		m.pending[added.loss.Upstream] = append(m.pending[added.loss.Upstream], d)
		m.awaitConfirmation(added.confirmBy)
	}
	return true
}

// awaitConfirmation records until when a claim is pending.
func (m *Model) awaitConfirmation(until time.Time) {
	if until.After(m.pendingUntil) {
		m.pendingUntil = until
	}
}

// ObserveBoot records the boot that an upstream reports, which confirms the losses under any other boot of it.
func (m *Model) ObserveBoot(now time.Time, upstream ident.UpstreamID, boot ident.BootID) []ident.Cmd {
	return m.confirm(now, upstream, func(l Loss) bool { return l.Boot != boot })
}

// AwaitsConfirmation reports whether an upstream has losses that are not confirmed yet.
func (m *Model) AwaitsConfirmation(now time.Time, upstream ident.UpstreamID) bool {
	return slices.ContainsFunc(m.pending[upstream], func(d Digest) bool {
		return slices.ContainsFunc(m.claimsOf(d), func(c claim) bool {
			return c.loss.Upstream == upstream && !c.confirmed && c.isPending(now)
		})
	})
}

// Unreachable records that an upstream no longer answers, which confirms its losses.
func (m *Model) Unreachable(now time.Time, upstream ident.UpstreamID) []ident.Cmd {
	return m.confirm(now, upstream, func(Loss) bool { return true })
}

// confirm confirms the pending losses of an upstream for which isConfirmed returns true.
func (m *Model) confirm(now time.Time, upstream ident.UpstreamID, isConfirmed func(Loss) bool) (cmds []ident.Cmd) {
	for _, d := range slices.Clone(m.pending[upstream]) {
		claims := m.claimsOf(d)
		for i := range claims {
			c := &claims[i]
			if c.loss.Upstream != upstream || c.confirmed || !c.isPending(now) || !isConfirmed(c.loss) {
				continue
			}
			c.confirmed = true
			m.touch(d)
			cmds = append(cmds, m.reportConfirmed(now, d, c)...)
		}
		cmds = append(cmds, m.quarantineIfProven(now, d)...)
	}
	return cmds
}

// reportConfirmed shares the confirmation of a loss as far as the others need it: they don't know of a silent loss, and
// observe the upstreams of all others themselves, but one that can't must know of suspects.
func (m *Model) reportConfirmed(now time.Time, d Digest, c *claim) (cmds []ident.Cmd) {
	suspect := len(m.claimsOf(d)) >= suspectAfter
	if c.own && !d.IsPart() || suspect {
		m.notify(ConfirmedCmd{Digest: d, Loss: c.loss, Alone: c.alone, Age: now.Sub(c.since)})
	}
	if c.silent || m.sharing != nil && c.own && suspect {
		cmds = m.publish(now, lossRecord(m.entry, d, c.loss, c.alone, true))
	}
	c.silent = false
	return cmds
}

// ObserveAnswer records that an upstream answered a request completely and outlived it, which disproves the losses known
// by now.
func (m *Model) ObserveAnswer(now time.Time, d Digest) []ident.Cmd {
	var losses []Loss
	for _, c := range m.claimsOf(d) {
		losses = append(losses, c.loss)
	}
	if len(losses) == 0 {
		return nil
	}
	m.disprove(d, losses)
	if m.sharing != nil && len(losses) < suspectAfter && !d.IsPart() {
		// A single loss restricts nothing, and each request that was in flight at a crash has one. Those of a part that come
		// one by one are disproved one by one, though, and other entries may not see an answer to it in between.
		return nil
	}
	return m.publish(now, answerRecord(m.entry, d, losses))
}

// disprove drops losses of a request and remembers them, so that duplicate records of them are ignored.
func (m *Model) disprove(d Digest, losses []Loss) {
	if m.isReleased(d, losses) {
		return
	}
	m.release(d, losses)
	if q := m.quarantineOf(d); q != nil && d.IsPart() {
		m.release(d, q.losses)
		m.quarantined.Delete(d)
		m.notify(ReleasedCmd{Digest: d})
	}
	m.dropClaimsIf(d, func(c claim) bool { return slices.Contains(losses, c.loss) })
	if len(losses) >= suspectAfter {
		m.notify(DisprovedCmd{Digest: d, Losses: losses})
	}
}

// Tick drops the claims that were not confirmed in time, ends quarantines and trials that have lasted long enough, and
// resends the outbox.
func (m *Model) Tick(now time.Time) []ident.Cmd {
	if !m.sweptAt.After(m.pendingUntil) {
		m.sweptAt = now
		m.dropUnconfirmed(now)
	} else {
		clear(m.pending)
	}
	m.expireTrials(now)
	m.expireQuarantines(now)
	return m.resend(now)
}

func (m *Model) dropUnconfirmed(now time.Time) {
	for _, d := range m.claims.Keys() {
		m.dropClaimsIf(d, func(c claim) bool { return !c.confirmed && !c.isPending(now) })
	}
}

// dropClaimsIf drops the claims of a request for which isDropped returns true.
func (m *Model) dropClaimsIf(d Digest, isDropped func(claim) bool) {
	m.touch(d)
	kept := slices.DeleteFunc(m.claimsOf(d), isDropped)
	if len(kept) == 0 {
		m.claims.Delete(d)
		return
	}
	m.claims.Set(d, kept)
}

// Undecided returns the losses that this entry observed itself, of requests with losses enough for a suspicion, which are
// neither confirmed nor refuted yet.
func (m *Model) Undecided(now time.Time) (losses []Loss) {
	for _, upstream := range slices.Sorted(maps.Keys(m.pending)) {
		for _, d := range m.pending[upstream] {
			for _, c := range m.claimsOf(d) {
				if c.loss.Upstream == upstream && c.own && !c.confirmed && c.isPending(now) && len(m.claimsOf(d)) >= suspectAfter && !slices.Contains(losses, c.loss) {
					losses = append(losses, c.loss)
				}
			}
		}
	}
	return losses
}

// Refute drops the unconfirmed losses of an upstream that were known before it was asked at asked, and then answered under
// the same boot.
func (m *Model) Refute(asked time.Time, upstream ident.UpstreamID, boot ident.BootID) {
	for _, d := range slices.Clone(m.pending[upstream]) {
		m.dropClaimsIf(d, func(c claim) bool {
			return !c.confirmed && c.loss.Upstream == upstream && c.loss.Boot == boot && c.since.Before(asked)
		})
	}
}

// Postpone gives the pending losses the whole time for their confirmation again, as while the upstreams can't be
// observed.
func (m *Model) Postpone(now time.Time) {
	if !now.Before(m.pendingUntil) {
		return
	}
	for _, d := range m.claims.Keys() {
		claims := m.claimsOf(d)
		for i := range claims {
			if c := &claims[i]; !c.confirmed && c.isPending(now) {
				c.confirmBy = now.Add(m.confirmTimeout)
				m.awaitConfirmation(c.confirmBy)
			}
		}
	}
}

// Pending reports whether a tick may have an effect: a record has not been read back, a trial is open
// or a claim is unconfirmed.
func (m *Model) Pending() bool {
	if len(m.outbox)+len(m.trials) > 0 {
		return true
	}
	for _, d := range m.claims.Keys() {
		claims := m.claimsOf(d)
		if slices.ContainsFunc(claims, func(c claim) bool { return !c.confirmed }) {
			return true
		}
	}
	return false
}
