package ramp

import (
	"slices"
	"time"

	"cicadavalve/core/ident"
)

// step is a share of the requests for the new release and when it is due before the deadline.
type step struct {
	share float64
	// lead is the time before the deadline, as a part of that of the first step.
	lead float64
}

// steps are the steps of a roll-out. The test lasts as long as possible, since a release may turn bad late; the last steps
// are short, since the deadline bounds what a bad one gets.
var steps = []step{testStep: {}, loadStep: {lead: 1.3}, 2: {share: 0.25, lead: 0.85}, fullStep: {share: 1, lead: 0.6}}

const (
	// In testStep a few requests go to the release.
	testStep = iota
	// In loadStep a part of what is allowed goes at once to few upstreams, since a release may be bad under load alone.
	loadStep
	// In fullStep all requests go to the release.
	fullStep = 3
)

const (
	// leadShare, minLead and maxLead set how long before the deadline the first step is due.
	leadShare = 0.33
	minLead   = 1500 * time.Millisecond
	maxLead   = 6 * time.Second
	// minStep is how long each step lasts at least.
	minStep = 400 * time.Millisecond
	// doneMargin is the time before the deadline from which on requests at old upstreams aren't waited for.
	doneMargin = 800 * time.Millisecond
	// minAnswers is the number of answers that a release needs before the first step, and minAnswerShare replaces it where
	// the old release has few answers itself, as a part of these; it is never below minFewAnswers.
	minAnswers     = 12
	minAnswerShare = 0.04
	minFewAnswers  = 3
	// minSlotShare is the part of the old upstreams' slots that the new ones must have, for each part of the requests.
	minSlotShare = 0.6
	// absentAfter is how long no upstream of another release must have been listed for there to be nothing to compare with.
	absentAfter = 3 * time.Second
	// loadTime is how long attempts from loadStep on count as sent to upstreams with much load.
	loadTime = 1500 * time.Millisecond
	// silenceMemory is how long an entry that has fallen silent counts as one that may be cut off.
	silenceMemory = time.Minute
	// recordRetry is the time after which a state is recorded again if that was not confirmed.
	recordRetry = time.Second
)

// deadline is when the operator expects the roll-out to have ended.
func (r *run) deadline() time.Time { return r.since.Add(r.within) }

// due is when a step is due.
func (r *run) due(step int) time.Time {
	lead := min(max(time.Duration(leadShare*float64(r.within)), minLead), maxLead)
	return r.deadline().Add(-time.Duration(steps[step].lead * float64(lead)))
}

// tick judges the roll-outs and, if this entry decides, moves them on and has their states recorded.
func (m *Model) tick(now time.Time, msg TickMsg) (cmds []ident.Cmd) {
	m.entries = len(msg.Entries) + 1
	m.countBreaks(now, msg.Link)
	m.countOverdue(now, msg.Link)
	for _, r := range m.runs() {
		if reason := r.judge.test(now); reason != nil && m.decide(r, RolledBack) {
			cmds = append(cmds, r.verdictCmd(now, reason))
		}
		if !msg.Holds || m.recorded == nil {
			continue
		}
		if r.verdict == Undecided {
			cmds = append(cmds, m.advance(now, r, msg)...)
		}
		if state := r.state(); state != r.written && now.Sub(r.writing) >= recordRetry {
			r.writing = now
			cmds = append(cmds, RecordCmd{Recorded{r.service, r.target, state}})
		}
	}
	return cmds
}

// advance takes the next step once it is due and allowed.
func (m *Model) advance(now time.Time, r *run, msg TickMsg) (cmds []ident.Cmd) {
	pool := msg.Pool(r.service, r.target)
	if pool.Old > 0 {
		r.oldAt = now
	}
	if r.step < fullStep && now.Sub(r.oldAt) >= absentAfter && pool.NewSlots > 0 {
		return []ident.Cmd{r.enter(now, fullStep)}
	}
	if now.Sub(r.stepAt) < minStep || r.isolated(now, msg.Entries) || r.judge.doubtful() || !r.confirmed(msg.Entries) {
		return nil
	}
	if r.step == fullStep {
		if pool.OldInFlight > 0 && now.Before(r.deadline().Add(-doneMargin)) || !m.decide(r, Done) {
			return nil
		}
		return []ident.Cmd{r.verdictCmd(now, nil)}
	}
	next := r.step + 1
	enough := float64(pool.NewSlots) >= minSlotShare*steps[next].share*float64(pool.OldSlots)
	late := !now.Before(r.deadline())
	if now.Before(r.due(next)) || pool.NewSlots == 0 || !enough && !late || !r.tested() {
		return nil
	}
	return []ident.Cmd{r.enter(now, next)}
}

// tested reports whether the release has given enough answers to go on.
func (r *run) tested() bool {
	few := max(minFewAnswers, int(minAnswerShare*float64(r.judge.oldAnswers)))
	return r.judge.answers() >= min(minAnswers, few)
}

// confirmed reports whether all entries that are alive are at the step.
func (r *run) confirmed(entries []string) bool {
	return !slices.ContainsFunc(entries, func(entry string) bool {
		report, heard := r.others[entry]
		return !heard || report.Step < r.step
	})
}

// isolated reports whether most of the entries that were heard lately have fallen silent: this entry may be cut off from
// them, and they may have found the release to be bad.
func (r *run) isolated(now time.Time, entries []string) bool {
	lately := 0
	for _, at := range r.heardAt {
		if now.Sub(at) < silenceMemory {
			lately++
		}
	}
	return 2*len(entries) < lately
}

// enter begins a step.
func (r *run) enter(now time.Time, step int) StepCmd {
	r.step, r.stepAt = step, now
	if step == loadStep {
		r.loadedUntil = now.Add(loadTime)
	}
	return StepCmd{Service: r.service, Target: r.target, Step: step, Share: steps[step].share, Age: r.age(now)}
}

// state returns the state for the operator.
func (r *run) state() State {
	switch r.verdict {
	case Done:
		return StateDone
	case RolledBack:
		return StateRolledBack
	}
	return StateRunning
}

func (r *run) verdictCmd(now time.Time, reason *Reason) VerdictCmd {
	return VerdictCmd{Service: r.service, Target: r.target, Verdict: r.verdict, Age: r.age(now), Sampled: r.share.sampled, Reason: reason}
}
