package roll

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
)

const (
	// shareGrowth multiplies the share at each step, up to lastTrial. The step after it has
	// watchShare: the rest stays on the old version, so that there is a control until the end.
	shareGrowth = 2
	lastTrial   = 0.5
	watchShare  = 0.9
	// reserveSteps is how many steps' time the plan leaves free before the deadline.
	reserveSteps = 2
	// spareCapacity is how much of the engines that a share calls for may still lack the version.
	spareCapacity = 0.25
	// keepJitter spreads the entries' keep records, so that one is mostly enough.
	keepJitter = 0.5
)

// ladder lists the shares of a move's steps up to its completion.
func ladder(first float64) (shares []float64) {
	for s := first; s < lastTrial; s *= shareGrowth {
		shares = append(shares, s)
	}
	if first <= lastTrial {
		shares = append(shares, lastTrial)
	}
	return append(shares, watchShare)
}

func (mv Move) versions() Versions { return Versions{mv.Model, mv.From, mv.To} }

// tick proposes what is due on each move.
func (m *Model) tick(now time.Time) (cmds []ident.Cmd) {
	for _, model := range m.models {
		mv := m.moves[model]
		cmds = append(cmds, m.keep(now, mv)...)
		if ended(m.phase(mv.ID)) {
			continue
		}
		cmds = append(cmds, m.settle(now, mv.ID)...)
		cmds = append(cmds, m.reports(now, mv.ID)...)
		if body, stopped := m.stopped[mv.ID]; stopped {
			cmds = append(cmds, m.repeatTakeBack(now, mv.ID, body)...)
			continue
		}
		cmds = append(cmds, m.advance(now, mv)...)
		cmds = append(cmds, m.sayLate(now, mv)...)
	}
	cmds = append(cmds, m.keepTokens(now)...)
	return append(cmds, m.claims(now)...)
}

// advance proposes the next step once the last one has lasted and passed.
func (m *Model) advance(now time.Time, mv Move) []ident.Cmd {
	e := m.effort(mv.ID)
	next := m.nextStep(mv)
	if now.Sub(e.proposed) < proposeInterval || !m.capable(mv, next.Share) {
		return nil
	}
	if s, begun := m.states[mv.ID]; begun && (now.Sub(s.since) < m.dwell(mv, s) || !e.judge.passed(s.share)) {
		return nil
	}
	e.proposed = now
	return []ident.Cmd{m.record(KindStep, next)}
}

func (m *Model) nextStep(mv Move) StepBody {
	shares := ladder(mv.Share)
	b := StepBody{Move: mv.ID, Of: mv.versions(), Number: m.number(mv.ID) + 1, Event: EventStep, Phase: Moving}
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

// stepsLeft counts the records that the move still lacks.
func (m *Model) stepsLeft(mv Move) int { return len(ladder(mv.Share)) + 1 - m.number(mv.ID) }

// dwell is how long the current step lasts at least: the time left is spread over the steps left.
func (m *Model) dwell(mv Move, s *state) time.Duration {
	return max(m.minDwell, mv.By.Sub(s.since)/time.Duration(m.stepsLeft(mv)+reserveSteps))
}

// capable reports whether enough engines hold the new version for a share.
func (m *Model) capable(mv Move, share float64) bool {
	total := 0
	for _, e := range m.engines {
		if !e.listed.Leaving && (e.holds(mv.Model, mv.From) || e.holds(mv.Model, mv.To)) {
			total++
		}
	}
	need := int(math.Ceil(float64(total) * share * (1 - spareCapacity)))
	return total > 0 && m.holders(mv.Model, mv.To) >= max(need, min(2, total))
}

// review stops a version once a test has ended with "bad".
func (m *Model) review(id MoveID) []ident.Cmd {
	if _, stopped := m.stopped[id]; stopped || ended(m.phase(id)) {
		return nil
	}
	reason, found := m.effort(id).judge.bad()
	if !found {
		return nil
	}
	for _, mv := range m.moves {
		if mv.ID == id {
			return m.takeBack(TakeBackBody{Move: id, Of: mv.versions(), Entry: m.entry, Reason: reason})
		}
	}
	return nil
}

// takeBack takes effect on this entry at once; the record makes it last.
func (m *Model) takeBack(b TakeBackBody) []ident.Cmd {
	m.stopped[b.Move] = b
	return []ident.Cmd{TellCmd{b}, m.recordAs(takeBackID(b), KindTakeBack, b)}
}

func takeBackID(b TakeBackBody) string {
	return "roll/take_back/" + string(b.Move) + "/" + string(b.Entry)
}

// repeatTakeBack appends a take-back until it is folded.
func (m *Model) repeatTakeBack(now time.Time, id MoveID, b TakeBackBody) []ident.Cmd {
	e := m.effort(id)
	if now.Sub(e.proposed) < proposeInterval {
		return nil
	}
	e.proposed = now
	return []ident.Cmd{m.recordAs(takeBackID(b), KindTakeBack, b)}
}

// peerTakeBack believes a peer: not sending to a version is always safe.
func (m *Model) peerTakeBack(msg PeerTakeBackMsg) []ident.Cmd {
	if _, stopped := m.stopped[msg.Body.Move]; stopped || !m.inForce(msg.Body.Move) || ended(m.phase(msg.Body.Move)) {
		return nil
	}
	m.stopped[msg.Body.Move] = msg.Body
	return nil
}

// keep appends a move's state anew before the log drops it.
func (m *Model) keep(now time.Time, mv Move) []ident.Cmd {
	s, known := m.states[mv.ID]
	if !known {
		return nil
	}
	if now.Sub(s.kept) < m.keepWait(string(mv.ID)) {
		return nil
	}
	s.kept = now
	return []ident.Cmd{m.record(KindKeep, StepBody{
		Move: mv.ID, Of: mv.versions(), Number: s.number, Phase: s.phase, Share: s.share,
	})}
}

// keepWait differs between entries, so that one of them is mostly first.
func (m *Model) keepWait(subject string) time.Duration {
	return m.keepInterval + time.Duration(float64(m.keepInterval)*keepJitter*m.jitter(subject))
}

// jitter is this entry's place in [0,1) for a subject.
func (m *Model) jitter(subject string) float64 {
	return float64(xxhash.Sum64String(subject+"\x00"+string(m.entry))>>11) / (1 << 53)
}

// sayLate tells once that a move is not expected to be complete by its time.
func (m *Model) sayLate(now time.Time, mv Move) []ident.Cmd {
	e := m.effort(mv.ID)
	e.expected = m.estimate(now, mv, e)
	if e.lateSaid || !e.expected.After(mv.By) {
		return nil
	}
	e.lateSaid = true
	return []ident.Cmd{LateCmd{Move: mv.ID, By: mv.By, Expected: e.expected}}
}

// estimate is when the move can be complete: the current step at the rate of its
// attempts so far, each later one in half the time, and none quicker than minDwell.
func (m *Model) estimate(now time.Time, mv Move, e *effort) time.Time {
	s, begun := m.states[mv.ID]
	if !begun {
		return now.Add(time.Duration(m.stepsLeft(mv)) * m.minDwell)
	}
	elapsed := max(now.Sub(s.since), m.minDwell)
	perAttempt := elapsed / time.Duration(max(e.judge.attempts(), 1))
	step := max(m.minDwell, time.Duration(passLeast)*perAttempt)
	at := s.since.Add(step)
	if at.Before(now) {
		at = now
	}
	for range m.stepsLeft(mv) - 1 {
		step = max(m.minDwell, step/shareGrowth)
		at = at.Add(step)
	}
	return at
}
