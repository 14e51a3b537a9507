package poison

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
)

// A part of prompts may crash upstreams as well as a whole request, whatever else the requests with it hold. Both are
// keys with losses of their own; three things differ for parts. A loss counts against the parts of a request only if
// none of its answers had begun, since an upstream crashes when it begins to write one. An answer that has begun
// disproves the losses of its parts, not only a complete one. And requests that share sound parts come at every entry at
// once, so that entries take turns to try a part, and a part in quarantine is tried again.

const (
	// burstTime is how long after the first loss of a part further ones restrict nothing: upstreams that end together don't
	// end by a part, and busy parts are in flight on several of them.
	burstTime = 250 * time.Millisecond
	// settleTime is how long the next loss restricts nothing either, in which answers disprove the losses of sound parts.
	settleTime = 150 * time.Millisecond
	// turnTime is the time from one entry's turn to try a suspect part to the next one's.
	turnTime = 250 * time.Millisecond
	// retryDelay is how long after the quarantine of a part, or after the last attempt to try it again, it may be tried.
	retryDelay = 10 * time.Second
	// retryTurn is how long each entry in turn may try a part in quarantine again. Nobody does in the last retryGuard of
	// it, in which the others learn of the trial.
	retryTurn  = time.Second
	retryGuard = 300 * time.Millisecond
	// maxRetries is how often a part in quarantine is tried again at most, the last time only after a reason to doubt it.
	maxRetries = 2
	// maxAccused limits the parts that one loss accuses at this entry, twice that if they have a loss already. Suspect
	// parts are always accused.
	maxAccused = 32
	// maxRememberedParts limits the parts that are remembered at a time.
	maxRememberedParts = 16
)

// Turn is an entry's place in the order in which entries try a key.
type Turn struct{ Rank, Entries int }

// Verdict is how a request may run, by what is known of it and of its parts.
type Verdict struct {
	Standing Standing
	// Held is set if the request must not run because of a quarantine. Otherwise, if it must not run, a trial decides soon.
	Held bool
	// Trials lists the keys that a suspect request tries.
	Trials []Digest
	// Key is the one with the strictest standing, Evidence when the newest evidence against it became known.
	Key      Digest
	Evidence time.Time
}

// Judge returns how a request may run. Turn returns the entry's turn to try a part.
//
//	v := m.Judge(now, poison.Keys{Request: digest, Parts: parts}, turn)
func (m *Model) Judge(now time.Time, keys Keys, turn func(Digest) Turn) (v Verdict) {
	var retried []Digest
	for i, d := range append([]Digest{keys.Request}, keys.Parts...) {
		var one Verdict
		if i == 0 {
			one = m.judgeRequest(now, d)
		} else {
			one = m.judgePart(now, d, turn)
		}
		if one.Standing == Suspect {
			v.Trials = append(v.Trials, d)
			if m.Quarantined(d) {
				retried = append(retried, d)
			}
		}
		if one.Standing > v.Standing || one.Held && !v.Held {
			v.Standing, v.Held, v.Key, v.Evidence = one.Standing, one.Held, d, m.LastEvidence(d)
		}
	}
	if v.Standing == Suspect && len(retried) > 0 && (len(v.Trials) > len(retried) || m.isWholeGroup(retried)) {
		// The trial would tell nothing new.
		v.Standing, v.Held = Quarantined, true
	}
	return v
}

// isWholeGroup reports whether several parts in quarantine are all that came into it by the same losses.
func (m *Model) isWholeGroup(parts []Digest) bool {
	if len(parts) < 2 {
		return false
	}
	last := func(d Digest) Loss { return m.quarantineOf(d).trialLoss }
	for _, d := range m.quarantined.Keys() {
		if d.IsPart() && last(d) == last(parts[0]) && !slices.Contains(parts, d) {
			return false
		}
	}
	return true
}

func (m *Model) judgeRequest(now time.Time, d Digest) (v Verdict) {
	v.Standing, v.Held = m.Standing(now, d), m.Quarantined(d)
	if v.Standing == Suspect && m.TriedElsewhere(d, "") {
		v.Standing = Quarantined
	}
	return v
}

func (m *Model) judgePart(now time.Time, d Digest, turn func(Digest) Turn) (v Verdict) {
	if q := m.quarantineOf(d); q != nil {
		if q.mayBeTried(now, turn, d) && !m.TriedElsewhere(d, "") {
			return Verdict{Standing: Suspect}
		}
		return Verdict{Standing: Quarantined, Held: true}
	}
	standing := m.Standing(now, d)
	if standing != Suspect {
		return Verdict{Standing: standing}
	}
	if now.Sub(m.suspectSince(now, d)) < settleTime {
		return v
	}
	due := m.LastEvidence(d).Add(settleTime + time.Duration(turn(d).Rank)*turnTime)
	if now.Before(due) || m.TriedElsewhere(d, "") {
		return Verdict{Standing: Quarantined}
	}
	return Verdict{Standing: Suspect}
}

// suspectSince returns when the losses of a part became more than one burst, now if they are not.
func (m *Model) suspectSince(now time.Time, d Digest) (at time.Time) {
	var times []time.Time
	for _, c := range m.claimsOf(d) {
		if c.isActive(now) {
			times = append(times, c.since)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for _, t := range times {
		if t.Sub(times[0]) >= burstTime {
			return t
		}
	}
	return now
}

// mayBeTried reports whether a part in quarantine may be tried again by this entry now.
func (q *quarantine) mayBeTried(now time.Time, turn func(Digest) Turn, d Digest) bool {
	allowed := 1
	if q.doubted {
		allowed = maxRetries
	}
	since := q.since
	if q.triedAt.After(since) {
		since = q.triedAt
	}
	waited := now.Sub(since) - retryDelay
	if q.tried >= allowed || waited < 0 {
		return false
	}
	t := turn(d)
	return int(waited/retryTurn)%max(t.Entries, 1) == t.Rank && (t.Entries <= 1 || waited%retryTurn < retryTurn-retryGuard)
}

// Doubt makes the parts in quarantine be tried once more, since the upstreams have changed.
func (m *Model) Doubt(now time.Time) {
	for _, d := range m.quarantined.Keys() {
		if q := m.quarantineOf(d); d.IsPart() && !q.doubted {
			q.doubted, q.triedAt = true, now
		}
	}
}

// Break is an attempt that ended without an answer.
type Break struct {
	// Keys are those that may be at fault: no parts if an answer of the request had begun.
	Keys    Keys
	Loss    Loss
	Started time.Time
	// Trial is the id of the trial that the attempt was, empty if it was none.
	Trial string
	// Silent is set if the upstream did not break the attempt off but sent nothing.
	Silent bool
}

// RecordBreak records the loss of an upstream against each key that may be at fault, and publishes it. If the request
// itself was on trial, the loss convicts no part of it: others with the part decide about that. It counts for nothing against
// a key with a loss on the same boot if no contact with the upstream is known since: see [Model.ObserveContact].
func (m *Model) RecordBreak(now time.Time, b Break) (cmds []ident.Cmd) {
	requestTried := b.Trial != "" && m.Granted(b.Keys.Request, b.Trial)
	conclusive := m.countRetried(b) < 2
	for _, d := range append([]Digest{b.Keys.Request}, m.accused(b.Keys.Parts, b.Loss)...) {
		if m.isRepeat(d, b) {
			continue
		}
		alone := b.Trial != "" && m.Granted(d, b.Trial) && (d == b.Keys.Request || !requestTried)
		if alone {
			t := m.trials[d]
			t.broken = conclusive
			m.trials[d] = t
		}
		if b.Silent {
			m.RecordSilence(now, b.Started, d, b.Loss, alone)
			continue
		}
		cmds = append(cmds, m.RecordLoss(now, b.Started, d, b.Loss, alone)...)
	}
	return cmds
}

// countRetried returns how many parts in quarantine an attempt tried again.
func (m *Model) countRetried(b Break) (count int) {
	for _, d := range b.Keys.Parts {
		if b.Trial != "" && m.Granted(d, b.Trial) && m.Quarantined(d) {
			count++
		}
	}
	return count
}

// accused returns those of the parts that a loss is recorded against.
func (m *Model) accused(parts []Digest, loss Loss) (accused []Digest) {
	count, _ := m.accusedBy.Get(loss)
	for _, d := range parts {
		losses := len(m.claimsOf(d))
		if losses < suspectAfter && !m.Quarantined(d) {
			if count >= maxAccused*(1+losses) {
				continue
			}
			count++
		}
		accused = append(accused, d)
	}
	m.accusedBy.Set(loss, count)
	return accused
}

// ObserveBegan records that an upstream began to answer a request and outlived it, which disproves the losses of its
// parts, releases those in quarantine, and ends their part in a trial.
func (m *Model) ObserveBegan(now time.Time, parts []Digest, trial string) (cmds []ident.Cmd) {
	for _, d := range parts {
		if trial != "" && m.Granted(d, trial) {
			cmds = append(cmds, m.EndTrial(now, m.trials[d].body)...)
		}
		if q := m.quarantineOf(d); q != nil {
			losses := q.losses
			m.disprove(d, losses)
			cmds = append(cmds, m.publish(now, answerRecord(m.entry, d, losses))...)
			continue
		}
		cmds = append(cmds, m.ObserveAnswer(now, d)...)
	}
	return cmds
}
