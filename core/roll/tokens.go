package roll

import (
	"fmt"
	"time"

	"cicadavalve/core/ident"
)

const (
	// weightTokens is the number of weight loads that may run at once over all entries.
	weightTokens = 2
	// leaseMargin is the share of the lease that other entries wait beyond its end before they take the token over.
	leaseMargin = 0.25
	// maxClaimDelay is the longest delay of a claim; each entry has its own, so that few of them collide.
	maxClaimDelay = 300 * time.Millisecond
	// reclaimDelay is how long a task is not claimed again after its claim has ended.
	reclaimDelay = 5 * time.Second
)

// token is a permit for one running weight load.
type token struct {
	// fence is the token's fencing number: the offset after the last record that changed it. It never decreases.
	fence int64
	held  bool
	claim ClaimBody
	// changedAt is when this entry folded the last change.
	changedAt time.Time
	// proposedAt is when this entry last proposed a record about the token.
	proposedAt time.Time
	// claimedAt is when this entry first proposed a claim after the fence claimedAfter; its lease starts then.
	claimedAt    time.Time
	claimedAfter int64
	// keptAt is when this entry last folded or appended the token's state.
	keptAt time.Time
	// orderEnded is true once this entry has released the token: the engine answered its order, or none was sent.
	orderEnded bool
}

// foldClaim folds a claim made on the token's current fence; its new fence is the offset after the claim.
func (m *Model) foldClaim(now time.Time, offset int64, b ClaimBody) []ident.Cmd {
	if b.Token < 0 || b.Token >= weightTokens {
		return nil
	}
	t := &m.tokens[b.Token]
	unseen := m.partial && t.fence == 0
	if b.After != t.fence && !unseen || m.upstreamClaimed(b.Token, b.Task.Upstream) {
		return nil
	}
	t.fence, t.held, t.claim, t.changedAt, t.keptAt, t.orderEnded = offset+1, true, b, now, now, false
	if b.Incarnation != m.incarnation {
		return nil
	}
	return m.sendOrder(now, t)
}

// upstreamClaimed reports whether a token other than except is held for an upstream.
func (m *Model) upstreamClaimed(except int, upstream ident.UpstreamID) bool {
	for i := range m.tokens {
		if i != except && m.tokens[i].held && m.tokens[i].claim.Task.Upstream == upstream {
			return true
		}
	}
	return false
}

// sendOrder sends the claim's order if at least half of the lease is left and the upstream is still listed,
// and releases the token otherwise.
// The lease starts before the claim is appended, which is earlier than any other entry can measure it from.
func (m *Model) sendOrder(now time.Time, t *token) []ident.Cmd {
	until := t.claimedAt.Add(m.weightLease)
	e, listed := m.engines[t.claim.Task.Upstream]
	if !listed || until.Sub(now) < m.weightLease/2 {
		return m.releaseToken(t)
	}
	return []ident.Cmd{OrderCmd{Task: t.claim.Task, Address: e.listed.Address, Fence: t.fence, Until: until}}
}

func (m *Model) releaseToken(t *token) []ident.Cmd {
	t.orderEnded = true
	return []ident.Cmd{m.recordAs(releaseID(t), KindRelease, ReleaseBody{Token: t.claim.Token, Fence: t.fence})}
}

func releaseID(t *token) string { return fmt.Sprintf("roll/release/%d/%d", t.claim.Token, t.fence) }

// orderEnded releases the token if the engine answered the order; without an answer the load may still run.
func (m *Model) orderEnded(msg OrderedMsg) []ident.Cmd {
	for i := range m.tokens {
		t := &m.tokens[i]
		if t.held && t.fence == msg.Fence && t.claim.Incarnation == m.incarnation && msg.Answered {
			return m.releaseToken(t)
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
	m.taskEnds[t.claim.Task] = now
	t.fence, t.held, t.changedAt, t.keptAt = offset+1, false, now, now
}

// foldTokenKeep restores a token's state on an entry whose log no longer holds the token's earlier records.
func (m *Model) foldTokenKeep(now time.Time, b TokenKeepBody) {
	if b.Token < 0 || b.Token >= weightTokens {
		return
	}
	t := &m.tokens[b.Token]
	t.keptAt = now
	if m.partial && b.Fence > t.fence {
		t.fence, t.held, t.claim, t.changedAt = b.Fence, b.Held, b.Claim, now
	}
}

// appendTokenKeeps appends the tokens' states again before their last records exceed the log's retention.
func (m *Model) appendTokenKeeps(now time.Time) (cmds []ident.Cmd) {
	for i := range m.tokens {
		t := &m.tokens[i]
		if t.fence == 0 || now.Sub(t.keptAt) < m.keepDelay(fmt.Sprintf("token/%d", i)) {
			continue
		}
		t.keptAt = now
		body := TokenKeepBody{Token: i, Fence: t.fence, Held: t.held, Claim: t.claim}
		cmds = append(cmds, m.record(KindTokenKeep, body))
	}
	return cmds
}

// proposeClaims proposes a claim on each token that this entry may take, and repeats releases not folded yet.
func (m *Model) proposeClaims(now time.Time) (cmds []ident.Cmd) {
	for i := range m.tokens {
		t := &m.tokens[i]
		if now.Sub(t.proposedAt) < retryInterval && t.proposedAt.After(t.changedAt) {
			continue
		}
		if t.held && t.orderEnded && t.claim.Incarnation == m.incarnation {
			t.proposedAt = now
			cmds = append(cmds, m.releaseToken(t)...)
			continue
		}
		task, ok := m.taskFor(now, i, t)
		if !ok {
			continue
		}
		cmds = append(cmds, m.proposeClaim(now, i, t, task))
	}
	return cmds
}

func (m *Model) proposeClaim(now time.Time, i int, t *token, task Task) AppendCmd {
	t.proposedAt = now
	if t.claimedAt.IsZero() || t.claimedAfter != t.fence {
		t.claimedAt, t.claimedAfter = now, t.fence
	}
	return m.record(KindClaim, ClaimBody{
		Token: i, After: t.fence, Entry: m.entry, Incarnation: m.incarnation, Task: task,
	})
}

// taskFor returns the task to claim a token for. ok is false if there is none or its delay has not passed.
func (m *Model) taskFor(now time.Time, i int, t *token) (task Task, ok bool) {
	delay := time.Duration(float64(maxClaimDelay) * m.jitter(fmt.Sprintf("%d/%d", i, t.fence)))
	if now.Sub(t.changedAt) < delay {
		return task, false
	}
	if t.held {
		return m.takeOver(now, i, t)
	}
	return m.nextTask(now, i)
}

// takeOver returns the task for a token whose lease has expired. The same task is claimed under a higher
// fence, so that the engine refuses a late order of the former holder. An engine that ignores fencing can't:
// its token stays held until the engine has carried the order out or the holder's incarnation is no member.
func (m *Model) takeOver(now time.Time, i int, t *token) (task Task, ok bool) {
	timeout := m.weightLease + time.Duration(float64(m.weightLease)*leaseMargin)
	if now.Sub(t.changedAt) < timeout {
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

// nextTask returns an order that a move needs and no token covers: the first one for token 0 and the last
// one for any other, so that an entry's claims do not collide. ok is false if there is none.
func (m *Model) nextTask(now time.Time, i int) (task Task, ok bool) {
	for _, model := range m.models {
		mv := m.moves[model]
		for _, id := range m.engineIDs {
			candidate, due := m.taskOn(now, mv, m.engines[id])
			if !due || m.covered(now, candidate) {
				continue
			}
			task, ok = candidate, true
			if i == 0 {
				return task, true
			}
		}
	}
	return task, ok
}

// taskOn returns the order that a move needs on one engine. ok is false if it needs none now.
func (m *Model) taskOn(now time.Time, mv Move, e *engine) (task Task, ok bool) {
	old, loaded := e.holds(mv.Model, mv.From), e.holds(mv.Model, mv.To)
	task = Task{Upstream: e.listed.ID, Action: ActionLoad, Model: mv.Model, Version: mv.To}
	if e.listed.Leaving || !old {
		return task, false
	}
	if !loaded {
		_, stopped := m.stopped[mv.ID]
		return task, !stopped && m.phase(mv.ID) != TakenBack
	}
	task.Action, task.Version = ActionUnload, mv.From
	s := m.states[mv.ID]
	return task, s != nil && s.phase == Complete && now.Sub(s.changedAt) >= m.unloadGrace
}

// covered reports whether a token is held for the task's engine or the task ended within reclaimDelay.
func (m *Model) covered(now time.Time, task Task) bool {
	if m.upstreamClaimed(-1, task.Upstream) {
		return true
	}
	endedAt, known := m.taskEnds[task]
	return known && now.Sub(endedAt) < reclaimDelay
}
