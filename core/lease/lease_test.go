package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadavalve/core/ident"
	"cicadavalve/core/lease"
)

const term = 3 * time.Second

// claims is the simulated log.
type claims struct {
	list []lease.Claim
	era  int64
}

// entry is one simulated claimant.
type entry struct {
	model *lease.Model
	id    string
	// frozen is until when the entry takes no step, unreachable until when its calls do not reach the log.
	frozen, unreachable time.Time
	// pending holds the answers in flight.
	pending []answer
	tick    lease.TickMsg
}

type answer struct {
	at  time.Time
	msg ident.Msg
}

// TestHoldersActAtLeastOneLeaseApart freezes entries and cuts them off the log at random, without fencing at the
// receivers, and checks that two of them never act within one lease of each other.
func TestHoldersActAtLeastOneLeaseApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulate(t, rapid.Uint64().Draw(t, "seed"), false) })
}

// TestRestoredLogKeepsHoldersApart also lets the log lose its last claims at random, in a new era each time.
func TestRestoredLogKeepsHoldersApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulate(t, rapid.Uint64().Draw(t, "seed"), true) })
}

// TestFailedSeeds replays the seeds of past failures.
func TestFailedSeeds(t *testing.T) {
	// 0x19: entries that receive no announcements took the duty from one another endlessly.
	for _, seed := range []uint64{0x19} {
		simulate(t, seed, false)
	}
}

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// restoresEnd is how long after the start the log may lose claims. Each loss keeps the duty vacant for more than a lease.
const restoresEnd = 30 * time.Second

// simulate runs three entries for a simulated minute. Restores makes the log lose claims.
func simulate(t fataler, seed uint64, restores bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var log claims
	start := time.Unix(1000, 0)
	var entries []*entry
	ids := []string{"a", "b", "c"}
	for _, id := range ids {
		m := lease.NewModel(id, 1, term, false)
		m.SetMembers(ids)
		entries = append(entries, &entry{model: m, id: id})
	}
	lastActor, lastAct, lastToken, acted := "", time.Time{}, int64(0), 0
	for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(50 * time.Millisecond) {
		if restores && now.Before(start.Add(restoresEnd)) && rng.IntN(200) == 0 {
			log.list, log.era = log.list[:rng.IntN(len(log.list)+1)], log.era+1
		}
		for _, e := range entries {
			if rng.IntN(400) == 0 {
				e.frozen = now.Add(time.Duration(rng.IntN(6000)) * time.Millisecond)
			}
			if rng.IntN(400) == 0 {
				e.unreachable = now.Add(time.Duration(rng.IntN(6000)) * time.Millisecond)
			}
			if now.Before(e.frozen) {
				continue
			}
			e.step(now, &log, rng)
			if !e.model.Holds(now) {
				continue
			}
			if lastActor != e.id && lastActor != "" && now.Sub(lastAct) < term {
				t.Fatalf("%s acts %v after %s", e.id, now.Sub(lastAct), lastActor)
			}
			if token := e.model.Token(); token < lastToken || token == lastToken && lastActor != e.id {
				t.Fatalf("%s acts with token %d after %s with %d", e.id, token, lastActor, lastToken)
			}
			lastActor, lastAct, lastToken = e.id, now, e.model.Token()
			acted++
		}
	}
	if acted == 0 {
		t.Fatal("no entry ever held the duty")
	}
}

func (e *entry) step(now time.Time, log *claims, rng *rand.Rand) {
	kept := e.pending[:0]
	for _, p := range e.pending {
		if p.at.After(now) {
			kept = append(kept, p)
			continue
		}
		e.model.Update(now, p.msg)
	}
	e.pending = kept
	for _, cmd := range e.model.Update(now, e.tick) {
		if now.Before(e.unreachable) {
			if _, claim := cmd.(lease.ClaimCmd); claim {
				e.pending = append(e.pending, answer{now.Add(800 * time.Millisecond), lease.ClaimedMsg{SentAt: now}})
			}
			continue
		}
		delay := time.Duration(rng.IntN(100)) * time.Millisecond
		e.pending = append(e.pending, answer{now.Add(delay), log.perform(now, cmd)})
	}
}

// perform executes a command on the log as the store does.
func (c *claims) perform(now time.Time, cmd ident.Cmd) ident.Msg {
	if claim, ok := cmd.(lease.ClaimCmd); ok {
		if claim.End != int64(len(c.list)) {
			return lease.ClaimedMsg{SentAt: now}
		}
		c.list = append(c.list, claim.Claim)
		return lease.ClaimedMsg{SentAt: now, Won: true, Era: c.era, Offset: int64(len(c.list) - 1)}
	}
	read := lease.ReadMsg{Era: c.era, SentAt: now, End: int64(len(c.list))}
	if n := len(c.list); n > 0 {
		last := c.list[n-1]
		read.Last = &last
	}
	return read
}

func ExampleModel() {
	m := lease.NewModel("a", 1, 3*time.Second, true)
	now := time.Unix(1000, 0)
	m.Update(now, lease.ClaimedMsg{SentAt: now, Won: true, Offset: 0})
	fmt.Println(m.Holds(now), m.Token(), m.Holds(now.Add(2*time.Second)))
	// Output: true 1 false
}
