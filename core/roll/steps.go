package roll

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
)

const (
	// shareGrowth multiplies the share at each step, up to maxTrialShare. The next step has watchShare:
	// the rest stays on the old version as a control until the move is complete.
	shareGrowth   = 2
	maxTrialShare = 0.5
	watchShare    = 0.9
	// reservedSteps is the number of step durations that the schedule leaves free before the deadline.
	reservedSteps = 2
	// maxLackingShare is the fraction of the engines needed for a share that may still lack the new version.
	maxLackingShare = 0.25
	// keepJitter spreads the entries' keep records, as a fraction of the interval, so that usually only one
	// entry appends them.
	keepJitter = 0.5
)

// stepShares lists the shares of a move's steps before its completion.
func stepShares(first float64) (shares []float64) {
	for s := first; s < maxTrialShare; s *= shareGrowth {
		shares = append(shares, s)
	}
	if first <= maxTrialShare {
		shares = append(shares, maxTrialShare)
	}
	return append(shares, watchShare)
}

func (mv Move) versions() Versions { return Versions{mv.Model, mv.From, mv.To} }

// tick appends the records that are due for each move and for the weight tokens.
func (m *Model) tick(now time.Time) (cmds []ident.Cmd) {
	for _, model := range m.models {
		mv := m.moves[model]
		cmds = append(cmds, m.appendKeep(now, mv)...)
		if isFinal(m.phase(mv.ID)) {
			continue
		}
		cmds = append(cmds, m.evaluate(now, mv.ID)...)
		cmds = append(cmds, m.reportEvidence(now, mv.ID)...)
		if body, stopped := m.stopped[mv.ID]; stopped {
			cmds = append(cmds, m.appendTakeBack(now, mv.ID, body)...)
			continue
		}
		cmds = append(cmds, m.advance(now, mv)...)
		cmds = append(cmds, m.reportLate(now, mv)...)
	}
	cmds = append(cmds, m.appendTokenKeeps(now)...)
	return append(cmds, m.proposeClaims(now)...)
}

// advance proposes the next step once the current one has lasted its dwell and passed its tests, and enough
// engines hold the new version.
func (m *Model) advance(now time.Time, mv Move) []ident.Cmd {
	e := m.localState(mv.ID)
	next := m.nextStep(mv)
	if now.Sub(e.proposedAt) < retryInterval || !m.enoughHolders(mv, next.Share) {
		return nil
	}
	if s, begun := m.states[mv.ID]; begun && (now.Sub(s.changedAt) < m.dwell(mv, s) || !e.analysis.passed(s.share)) {
		return nil
	}
	e.proposedAt = now
	return []ident.Cmd{m.record(KindStep, next)}
}

func (m *Model) nextStep(mv Move) StepBody {
	shares := stepShares(mv.Share)
	b := StepBody{Move: mv.ID, Of: mv.versions(), Number: m.stepNumber(mv.ID) + 1, Event: EventStep, Phase: Moving}
	switch {
	case b.Number > len(shares):
		b.Event, b.Phase, b.Share = EventComplete, Complete, 1
	case b.Number == len(shares):
		b.Event, b.Phase, b.Share = EventFull, Watching, watchShare
	default:
		b.Share = shares[b.Number-1]
	}
	return b
}

// stepsLeft returns the number of steps until the move is complete, including the completion.
func (m *Model) stepsLeft(mv Move) int { return len(stepShares(mv.Share)) + 1 - m.stepNumber(mv.ID) }

// dwell returns the minimum duration of the current step: the time to the deadline is spread evenly over the
// remaining steps.
func (m *Model) dwell(mv Move, s *state) time.Duration {
	return max(m.minDwell, mv.By.Sub(s.changedAt)/time.Duration(m.stepsLeft(mv)+reservedSteps))
}

// enoughHolders reports whether enough engines hold the new version to serve a share: all but maxLackingShare of
// those that the share needs, and at least two if there are as many.
func (m *Model) enoughHolders(mv Move, share float64) bool {
	total := 0
	for _, e := range m.engines {
		if !e.listed.Leaving && (e.holds(mv.Model, mv.From) || e.holds(mv.Model, mv.To)) {
			total++
		}
	}
	need := int(math.Ceil(float64(total) * share * (1 - maxLackingShare)))
	return total > 0 && m.holders(mv.Model, mv.To) >= max(need, min(2, total))
}

// checkRejection takes the new version back once a test has rejected it.
func (m *Model) checkRejection(id MoveID) []ident.Cmd {
	if _, stopped := m.stopped[id]; stopped || isFinal(m.phase(id)) {
		return nil
	}
	reason, rejected := m.localState(id).analysis.rejected()
	if !rejected {
		return nil
	}
	for _, mv := range m.moves {
		if mv.ID == id {
			return m.takeBack(TakeBackBody{Move: id, Of: mv.versions(), Entry: m.entry, Reason: reason})
		}
	}
	return nil
}

// takeBack stops the new version on this entry at once; the record makes it permanent on every entry.
func (m *Model) takeBack(b TakeBackBody) []ident.Cmd {
	m.stopped[b.Move] = b
	return []ident.Cmd{TellCmd{b}, m.recordAs(takeBackID(b), KindTakeBack, b)}
}

func takeBackID(b TakeBackBody) string {
	return "roll/take_back/" + string(b.Move) + "/" + string(b.Entry)
}

// appendTakeBack repeats the take-back record every retryInterval until it is folded.
func (m *Model) appendTakeBack(now time.Time, id MoveID, b TakeBackBody) []ident.Cmd {
	e := m.localState(id)
	if now.Sub(e.proposedAt) < retryInterval {
		return nil
	}
	e.proposedAt = now
	return []ident.Cmd{m.recordAs(takeBackID(b), KindTakeBack, b)}
}

// applyPeerTakeBack stops a version on a peer's notice, unchecked: not using the new version is always safe.
func (m *Model) applyPeerTakeBack(msg PeerTakeBackMsg) []ident.Cmd {
	if _, stopped := m.stopped[msg.Body.Move]; stopped || !m.inForce(msg.Body.Move) || isFinal(m.phase(msg.Body.Move)) {
		return nil
	}
	m.stopped[msg.Body.Move] = msg.Body
	return nil
}

// appendKeep appends a move's state again before its last record exceeds the log's retention.
func (m *Model) appendKeep(now time.Time, mv Move) []ident.Cmd {
	s, known := m.states[mv.ID]
	if !known {
		return nil
	}
	if now.Sub(s.keptAt) < m.keepDelay(string(mv.ID)) {
		return nil
	}
	s.keptAt = now
	return []ident.Cmd{m.record(KindKeep, StepBody{
		Move: mv.ID, Of: mv.versions(), Number: s.number, Phase: s.phase, Share: s.share,
	})}
}

// keepDelay returns the interval after which a subject's state is appended again. It differs between entries,
// so that usually one of them appends first.
func (m *Model) keepDelay(subject string) time.Duration {
	return m.keepInterval + time.Duration(float64(m.keepInterval)*keepJitter*m.jitter(subject))
}

// jitter returns a fixed fraction in [0,1) for this entry and a subject.
func (m *Model) jitter(subject string) float64 {
	return float64(xxhash.Sum64String(subject+"\x00"+string(m.entry))>>11) / (1 << 53)
}

// reportLate reports once that a move is not expected to be complete by its deadline.
func (m *Model) reportLate(now time.Time, mv Move) []ident.Cmd {
	e := m.localState(mv.ID)
	e.expected = m.estimate(now, mv, e)
	if e.lateReported || !e.expected.After(mv.By) {
		return nil
	}
	e.lateReported = true
	return []ident.Cmd{LateCmd{Move: mv.ID, By: mv.By, Expected: e.expected}}
}

// estimate returns when the move can be complete. The current step is extrapolated from the rate of its
// attempts so far, each later step takes half as long, and none is shorter than minDwell.
func (m *Model) estimate(now time.Time, mv Move, e *localState) time.Time {
	s, begun := m.states[mv.ID]
	if !begun {
		return now.Add(time.Duration(m.stepsLeft(mv)) * m.minDwell)
	}
	elapsed := max(now.Sub(s.changedAt), m.minDwell)
	perAttempt := elapsed / time.Duration(max(e.analysis.attempts(), 1))
	step := max(m.minDwell, time.Duration(minPassAttempts)*perAttempt)
	expected := s.changedAt.Add(step)
	if expected.Before(now) {
		expected = now
	}
	for range m.stepsLeft(mv) - 1 {
		step = max(m.minDwell, step/shareGrowth)
		expected = expected.Add(step)
	}
	return expected
}
