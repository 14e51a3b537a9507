// Package poison finds the requests that crash each upstream that runs them.
//
// An upstream that is lost with requests in flight is a loss for each of them. A request with
// losses on several upstreams is suspect and runs alone, on one entry at a time, which a trial
// record in the log settles; when it loses that upstream too, it is quarantined on every entry. Requests are known by a keyed digest alone.
package poison

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

const (
	// suspectAfter is how many upstreams may be lost with a request before it runs alone.
	suspectAfter = 2
	// MostLosses is how many upstreams a request can crash, one attempt after another.
	MostLosses = suspectAfter + 1
	// confirmWithin is how long a loss counts without a sign that the upstream restarted.
	confirmWithin = 3 * time.Second
	// mostDigests bounds the requests with evidence, and those in quarantine.
	mostDigests = 4096
)

// Digest is a keyed hash of an organisation and its request.
type Digest string

// Loss is one boot of an upstream that ended while a request ran there.
type Loss struct {
	Upstream ident.UpstreamID `json:"upstream"`
	Boot     ident.BootID     `json:"boot"`
	// Again counts the request's losses there under this boot before it was sent: an entry
	// may send again before it learns of the new boot.
	Again int `json:"again,omitempty"`
	// OnTrial is true where the upstream ran a weight version on trial. A break there counts
	// only once the upstream is seen to have gone: the version may be what fails.
	OnTrial bool `json:"on_trial,omitempty"`
}

// Standing is what may be done with a request.
type Standing int

// The standings, from the best.
const (
	// Clear requests run like any other.
	Clear Standing = iota
	// Suspect requests run on an upstream of their own.
	Suspect
	// Quarantined requests do not run.
	Quarantined
)

// claim is a loss as this entry or another one saw it.
type claim struct {
	loss Loss
	// alone is true where the request was the only one of its entry on the upstream.
	alone bool
	since time.Time
	// confirmed is true once the upstream is known to have restarted or gone.
	confirmed bool
}

// Model is what one entry knows of crashing requests.
type Model struct {
	entry  ident.EntryID
	claims map[Digest][]claim
	// suspects lists the keys of claims, the oldest first.
	suspects []Digest
	// convicted holds the losses that put each request in quarantine.
	convicted map[Digest][]Loss
	// verdicts lists the keys of convicted, the oldest first.
	verdicts []Digest
	// released holds the losses that each released request was in quarantine for; they count no more.
	released map[Digest][]Loss
	// releases holds the ids of the releases folded; each counts once.
	releases map[string]bool
	// trials holds the open trials; at most one for each request.
	trials map[Digest]trial
	// occupied holds the id of the trial on each upstream that has one.
	occupied map[ident.UpstreamID]string
	// outbox holds the records that this entry has appended and not read back.
	outbox []ledger.Record
	// resent is when the outbox was appended last.
	resent time.Time
	// next is the offset of the first record not folded yet; it never decreases.
	next int64
}

// NewModel is a model without evidence.
//
//	m := poison.NewModel("entry-0")
//	cmds := m.Lost(now, digest, poison.Loss{Upstream: "engine-1", Boot: boot}, false)
func NewModel(entry ident.EntryID) *Model {
	return &Model{
		entry: entry, claims: map[Digest][]claim{}, convicted: map[Digest][]Loss{},
		released: map[Digest][]Loss{}, releases: map[string]bool{},
		trials: map[Digest]trial{}, occupied: map[ident.UpstreamID]string{},
	}
}

// Standing judges a request; one without a digest is always clear.
func (m *Model) Standing(now time.Time, d Digest) Standing {
	if _, held := m.convicted[d]; held {
		return Quarantined
	}
	losses := 0
	for _, c := range m.claims[d] {
		if !c.counts(now) {
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

// counts reports whether a claim is confirmed or may still be.
func (c *claim) counts(now time.Time) bool {
	return c.confirmed || c.pending(now) && !c.loss.OnTrial
}

// pending reports whether a claim may still be confirmed.
func (c *claim) pending(now time.Time) bool {
	return now.Sub(c.since) < confirmWithin
}

// Lost notes that an attempt broke off that had started at a time, and tells the other entries.
func (m *Model) Lost(now, started time.Time, d Digest, loss Loss, alone bool) []ident.Cmd {
	if d == "" {
		return nil
	}
	for _, c := range m.claims[d] {
		if c.loss.Upstream == loss.Upstream && c.loss.Boot == loss.Boot && c.since.Before(started) {
			loss.Again++
		}
	}
	if !m.claim(now, d, loss, alone) {
		return nil
	}
	return m.publish(lossRecord(m.entry, d, loss, alone))
}

// claim adds a loss and reports whether it is a new one.
func (m *Model) claim(now time.Time, d Digest, loss Loss, alone bool) bool {
	if m.explained(loss) || slices.Contains(m.released[d], loss) {
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
		m.suspects = append(m.suspects, d)
	}
	m.claims[d] = append(claims, claim{loss: loss, alone: alone, since: now})
	m.forgetOldest()
	return true
}

func (m *Model) forgetOldest() {
	for len(m.suspects) > mostDigests {
		delete(m.claims, m.suspects[0])
		m.suspects = m.suspects[1:]
	}
	for len(m.verdicts) > mostDigests {
		delete(m.convicted, m.verdicts[0])
		m.verdicts = m.verdicts[1:]
	}
}

// Seen notes the boot that an upstream reports: another one than before confirms its losses.
func (m *Model) Seen(now time.Time, upstream ident.UpstreamID, boot ident.BootID) []ident.Cmd {
	return m.confirm(now, func(l Loss) bool { return l.Upstream == upstream && l.Boot != boot })
}

// Unreachable notes that an upstream answers no more, which confirms its losses.
func (m *Model) Unreachable(now time.Time, upstream ident.UpstreamID) []ident.Cmd {
	return m.confirm(now, func(l Loss) bool { return l.Upstream == upstream })
}

func (m *Model) confirm(now time.Time, matches func(Loss) bool) (cmds []ident.Cmd) {
	for _, d := range slices.Clone(m.suspects) {
		for i := range m.claims[d] {
			c := &m.claims[d][i]
			if !c.confirmed && !c.pending(now) || !matches(c.loss) {
				continue
			}
			c.confirmed = true
		}
		cmds = append(cmds, m.judge(d)...)
	}
	return cmds
}

// judge puts a request in quarantine once it is known to have crashed an upstream alone.
func (m *Model) judge(d Digest) []ident.Cmd {
	var losses []Loss
	guilty := false
	for _, c := range m.claims[d] {
		if c.confirmed {
			losses = append(losses, c.loss)
			guilty = guilty || c.alone
		}
	}
	if !guilty {
		return nil
	}
	m.convict(d, losses)
	return m.publish(quarantineRecord(m.entry, d, losses))
}

// convict also clears the other requests of the losses that this one explains.
func (m *Model) convict(d Digest, losses []Loss) {
	if _, held := m.convicted[d]; held || m.isReleased(d, losses) {
		return
	}
	m.convicted[d] = losses
	m.verdicts = append(m.verdicts, d)
	m.drop(d)
	for _, other := range slices.Clone(m.suspects) {
		m.claims[other] = slices.DeleteFunc(m.claims[other], func(c claim) bool { return slices.Contains(losses, c.loss) })
		if len(m.claims[other]) == 0 {
			m.drop(other)
		}
	}
	m.forgetOldest()
}

func (m *Model) drop(d Digest) {
	delete(m.claims, d)
	m.suspects = slices.DeleteFunc(m.suspects, func(s Digest) bool { return s == d })
}

// explained reports whether a request in quarantine caused a loss.
func (m *Model) explained(loss Loss) bool {
	for _, d := range m.verdicts {
		if slices.Contains(m.convicted[d], loss) {
			return true
		}
	}
	return false
}

// Tick drops the claims that were never confirmed and appends again what the log does not show.
func (m *Model) Tick(now time.Time) []ident.Cmd {
	for _, d := range slices.Clone(m.suspects) {
		m.claims[d] = slices.DeleteFunc(m.claims[d], func(c claim) bool { return !c.confirmed && !c.pending(now) })
		if len(m.claims[d]) == 0 {
			m.drop(d)
		}
	}
	m.expireTrials(now)
	return m.resend(now)
}

// Pending reports whether a tick may change something: a record is not read back, a trial is open
// or a loss may still be confirmed.
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
