package roll

import (
	"fmt"
	"time"

	"cicadavalve/core/ident"
)

const (
	// weightTokens is how many weight loads may run at once over all entries.
	weightTokens = 2
	// leaseMargin is how much longer than the lease the others wait, as a share of it.
	leaseMargin = 0.25
	// claimSpread is the longest delay by which entries keep out of each other's way.
	claimSpread = 300 * time.Millisecond
	// settleTime is how long after a claim's end its task is not claimed again.
	settleTime = 5 * time.Second
)

// token is the right to have one weight load running.
type token struct {
	// fence is the offset after the last record that changed the token; it never decreases.
	fence int64
	held  bool
	claim ClaimBody
	// since is when this entry folded the last change.
	since time.Time
	// proposed is when this entry last proposed a record about the token.
	proposed time.Time
	// first is when this entry first proposed a claim that follows firstAfter; its lease counts from there.
	first      time.Time
	firstAfter int64
	// kept is when this entry last folded the token's state.
	kept time.Time
	// ended is true once this entry's own order ended with an answer.
	ended bool
}

// foldClaim takes a claim that follows the token's last change; its fence is its own offset.
func (m *Model) foldClaim(now time.Time, offset int64, b ClaimBody) []ident.Cmd {
	if b.Token < 0 || b.Token >= weightTokens {
		return nil
	}
	t := &m.tokens[b.Token]
	unseen := m.partial && t.fence == 0
	if b.After != t.fence && !unseen || m.claimed(b.Token, b.Task.Upstream) {
		return nil
	}
	t.fence, t.held, t.claim, t.since, t.kept, t.ended = offset+1, true, b, now, now, false
	if b.Incarnation != m.incarnation {
		return nil
	}
	return m.order(now, t)
}

// claimed reports whether another token is held for an upstream.
func (m *Model) claimed(but int, upstream ident.UpstreamID) bool {
	for i := range m.tokens {
		if i != but && m.tokens[i].held && m.tokens[i].claim.Task.Upstream == upstream {
			return true
		}
	}
	return false
}

// order sends the claim's order while enough of the lease is left; the lease counts
// from before the claim was appended, which is earlier than any other entry can count from.
func (m *Model) order(now time.Time, t *token) []ident.Cmd {
	until := t.first.Add(m.weightLease)
	e, listed := m.engines[t.claim.Task.Upstream]
	if !listed || until.Sub(now) < m.weightLease/2 {
		return m.release(t)
	}
	return []ident.Cmd{OrderCmd{Task: t.claim.Task, Address: e.listed.Address, Fence: t.fence, Until: until}}
}

func (m *Model) release(t *token) []ident.Cmd {
	t.ended = true
	return []ident.Cmd{m.recordAs(releaseID(t), KindRelease, ReleaseBody{Token: t.claim.Token, Fence: t.fence})}
}

func releaseID(t *token) string { return fmt.Sprintf("roll/release/%d/%d", t.claim.Token, t.fence) }

// ordered frees the token where the engine has answered; else the load may still run.
func (m *Model) ordered(msg OrderedMsg) []ident.Cmd {
	for i := range m.tokens {
		t := &m.tokens[i]
		if t.held && t.fence == msg.Fence && t.claim.Incarnation == m.incarnation && msg.Known {
			return m.release(t)
		}
	}
	return nil
}

func (m *Model) foldRelease(now time.Time, offset int64, b ReleaseBody) {
	if b.Token < 0 || b.Token >= weightTokens {
		return
	}
	t := &m.tokens[b.Token]
	if !t.held || t.fence != b.Fence {
		return
	}
	m.lately[t.claim.Task] = now
	t.fence, t.held, t.since, t.kept = offset+1, false, now, now
}

// foldTokenKeep tells a token's state to an entry that can't read its records any more.
func (m *Model) foldTokenKeep(now time.Time, b TokenKeepBody) {
	if b.Token < 0 || b.Token >= weightTokens {
		return
	}
	t := &m.tokens[b.Token]
	t.kept = now
	if m.partial && b.Fence > t.fence {
		t.fence, t.held, t.claim, t.since = b.Fence, b.Held, b.Claim, now
	}
}

// keepTokens appends the tokens' states anew before the log drops them.
func (m *Model) keepTokens(now time.Time) (cmds []ident.Cmd) {
	for i := range m.tokens {
		t := &m.tokens[i]
		if t.fence == 0 || now.Sub(t.kept) < m.keepWait(fmt.Sprintf("token/%d", i)) {
			continue
		}
		t.kept = now
		body := TokenKeepBody{Token: i, Fence: t.fence, Held: t.held, Claim: t.claim}
		cmds = append(cmds, m.record(KindTokenKeep, body))
	}
	return cmds
}

// claims proposes a claim on each token that this entry may take.
func (m *Model) claims(now time.Time) (cmds []ident.Cmd) {
	for i := range m.tokens {
		t := &m.tokens[i]
		if now.Sub(t.proposed) < proposeInterval && t.proposed.After(t.since) {
			continue
		}
		if t.held && t.ended && t.claim.Incarnation == m.incarnation {
			t.proposed = now
			cmds = append(cmds, m.release(t)...)
			continue
		}
		task, ok := m.taskFor(now, i, t)
		if !ok {
			continue
		}
		cmds = append(cmds, m.propose(now, i, t, task))
	}
	return cmds
}

func (m *Model) propose(now time.Time, i int, t *token, task Task) AppendCmd {
	t.proposed = now
	if t.first.IsZero() || t.firstAfter != t.fence {
		t.first, t.firstAfter = now, t.fence
	}
	return m.record(KindClaim, ClaimBody{
		Token: i, After: t.fence, Entry: m.entry, Incarnation: m.incarnation, Task: task,
	})
}

func (m *Model) taskFor(now time.Time, i int, t *token) (task Task, ok bool) {
	spread := time.Duration(float64(claimSpread) * m.jitter(fmt.Sprintf("%d/%d", i, t.fence)))
	if now.Sub(t.since) < spread {
		return task, false
	}
	if t.held {
		return m.takeOver(now, i, t)
	}
	return m.nextTask(now, i)
}

// takeOver orders the same task again under a higher fence, so that a late order of the
// holder is refused. An engine that ignores fencing must show that it has carried the
// order out, or the holder must be known to be gone; else the token stays taken.
func (m *Model) takeOver(now time.Time, i int, t *token) (task Task, ok bool) {
	wait := m.weightLease + time.Duration(float64(m.weightLease)*leaseMargin)
	if now.Sub(t.since) < wait {
		return task, false
	}
	task = t.claim.Task
	e, listed := m.engines[task.Upstream]
	if !listed {
		return m.nextTask(now, i)
	}
	if m.rules == nil || !m.rules.IgnoresFencing(task.Upstream) {
		return task, true
	}
	holds := e.holds(task.Model, task.Version)
	done := holds == (task.Action == ActionLoad)
	if done || m.members[t.claim.Entry] != t.claim.Incarnation {
		return m.nextTask(now, i)
	}
	return task, false
}

// nextTask is the first order that a move calls for and no token covers; the second
// token takes the last one, so that one entry's two claims do not meet.
func (m *Model) nextTask(now time.Time, i int) (task Task, ok bool) {
	for _, model := range m.models {
		mv := m.moves[model]
		for _, id := range m.engineIDs {
			one, due := m.taskOn(now, mv, m.engines[id])
			if !due || m.covered(now, one) {
				continue
			}
			task, ok = one, true
			if i == 0 {
				return task, true
			}
		}
	}
	return task, ok
}

func (m *Model) taskOn(now time.Time, mv Move, e *engine) (task Task, ok bool) {
	old, current := e.holds(mv.Model, mv.From), e.holds(mv.Model, mv.To)
	task = Task{Upstream: e.listed.ID, Action: ActionLoad, Model: mv.Model, Version: mv.To}
	if e.listed.Leaving || !old {
		return task, false
	}
	if !current {
		_, stopped := m.stopped[mv.ID]
		return task, !stopped && m.phase(mv.ID) != TakenBack
	}
	task.Action, task.Version = ActionUnload, mv.From
	s := m.states[mv.ID]
	return task, s != nil && s.phase == Complete && now.Sub(s.since) >= m.unloadGrace
}

// covered reports whether a token is held for the engine, or the task has just ended.
func (m *Model) covered(now time.Time, task Task) bool {
	if m.claimed(-1, task.Upstream) {
		return true
	}
	ended, known := m.lately[task]
	return known && now.Sub(ended) < settleTime
}
