package daemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/mesh"
	"cicadavalve/core/parts"
	"cicadavalve/core/watch"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// stalled returns a controller that ticked until lastTick and has not run since.
func stalled(lastTick time.Time) *Controller {
	d := newFleet(Settings{}, 1, lastTick)[0]
	for i := range 40 {
		d.Tick(lastTick.Add(time.Duration(i-39) * tickInterval))
	}
	return d
}

// TestLimitHeardDuringAFreezeDoesNotReplaceANewerOne freezes an entry for 4 s. Meanwhile a message arrives that tells that an
// upstream named no limit, which was so before the entry itself was told of one.
func TestLimitHeardDuringAFreezeDoesNotReplaceANewerOne(t *testing.T) {
	for name, lag := range map[string]time.Duration{"handled before the tick": 0, "handled after the tick": 50 * time.Millisecond} {
		lastTick := time.Now()
		d, woken := stalled(lastTick), lastTick.Add(4*time.Second)
		d.applyUpstream(lastTick, conf.Upstream{ID: "u", Service: "app", Address: "a", Zone: "z", Slots: 8, Born: 1})
		limit := conf.NamedLimit{Named: true, PerSecond: 3}
		d.observeStatements(lastTick.Add(-100*time.Millisecond), relay.Exchange{Upstream: "u", Born: 1, SentAt: lastTick.Add(-200 * time.Millisecond)}, port.Reply{Signed: true, Limit: limit})
		if lag > 0 {
			d.Tick(woken)
		}
		d.applyMessage(woken.Add(lag), gossip.Message{
			ID: "other", State: int(mesh.Ready), Boot: 1, Limits: []gossip.Limit{{Upstream: "u", Born: 1, AgeMS: 500}},
		})
		if diff := cmp.Diff(limit, d.fleet.Limit(woken.Add(lag), "u")); diff != "" {
			t.Errorf("%s: limit (-want +got):\n%s", name, diff)
		}
	}
}

// TestMarkHeardDuringAFreezeIsNotTakenAsFresh freezes an entry for 4 s. Meanwhile another one tells how far it has read a
// topic. The entry must not take that as what it knows when it wakes.
func TestMarkHeardDuringAFreezeIsNotTakenAsFresh(t *testing.T) {
	lastTick := time.Now()
	d, woken := stalled(lastTick), lastTick.Add(4*time.Second)
	f := &feed{topic: port.Operator, watch: watch.NewModel(0, operatorMaxAge), wake: make(chan struct{}, 1)}
	d.feeds = []*feed{f}
	f.watch.Update(watch.ReadMsg{Next: 5, At: lastTick.Add(-time.Second), Snapshot: true})
	d.applyMessage(woken, gossip.Message{ID: "other", State: int(mesh.Ready), Boot: 1, Marks: []gossip.Mark{{Topic: int(port.Operator), Next: 5, Changed: 5, AgeMS: 20}}})
	if known := f.watch.KnownAt(); known.After(lastTick) {
		t.Errorf("the topic counts as known until %v after the entry stood still", known.Sub(lastTick))
	}
}

// TestReportThatWaitedForAHeartbeatIsToldWithItsAge freezes an entry for 4 s after it was told what a store has.
func TestReportThatWaitedForAHeartbeatIsToldWithItsAge(t *testing.T) {
	lastTick := time.Now()
	d := stalled(lastTick)
	d.applyHoldings(lastTick, "store", port.Holdings{Boot: 1}, false, false)
	m, _ := d.message(lastTick.Add(4 * time.Second))
	var ages []int
	for _, r := range m.Reports {
		ages = append(ages, r.AgeMS)
	}
	if diff := cmp.Diff([]int{4000}, ages); diff != "" {
		t.Errorf("ages in ms (-want +got):\n%s", diff)
	}
}

// TestReportHeardDuringAFreezeDoesNotConfirmAStore freezes an entry for 4 s. Meanwhile another one tells it that a store is in
// the incarnation in which it has a part. The store may have restarted since, and others may be saving the part again.
func TestReportHeardDuringAFreezeDoesNotConfirmAStore(t *testing.T) {
	lastTick := time.Now()
	d, woken := stalled(lastTick), lastTick.Add(4*time.Second)
	key := parts.NewKey("salt", "a")
	report := gossip.Message{
		ID: "other", State: int(mesh.Ready), Boot: 1,
		Reports: []gossip.Report{{Holder: "store", Epoch: 1, Changes: []gossip.Change{{Key: uint64(key), Tokens: 512}}}},
	}
	d.applyMessage(lastTick, report)
	if !d.index.Readable(lastTick, "store", key, 512) {
		t.Fatal("the part can't be read before the freeze")
	}
	d.applyMessage(woken, report)
	if d.index.Readable(woken, "store", key, 512) {
		t.Error("the part can be read by a report that may have been made 4 s ago")
	}
}

// TestLimitOfAnOwnAnswerCountsRightAfterAFreeze freezes an entry for 4 s. An answer without a limit is handled when it wakes, and
// one that names a limit 300 ms later, to a request that was sent after it woke.
func TestLimitOfAnOwnAnswerCountsRightAfterAFreeze(t *testing.T) {
	lastTick := time.Now()
	d, woken := stalled(lastTick), lastTick.Add(4*time.Second)
	d.applyUpstream(lastTick, conf.Upstream{ID: "u", Service: "app", Address: "a", Zone: "z", Slots: 8, Born: 1})
	d.Tick(woken)
	d.observeStatements(woken.Add(10*time.Millisecond), relay.Exchange{Upstream: "u", Born: 1, SentAt: lastTick}, port.Reply{Signed: true})
	limit, now := conf.NamedLimit{Named: true, PerSecond: 3}, woken
	for now.Before(woken.Add(300 * time.Millisecond)) {
		now = now.Add(tickInterval)
		d.Tick(now)
	}
	d.observeStatements(now, relay.Exchange{Upstream: "u", Born: 1, SentAt: woken.Add(200 * time.Millisecond)}, port.Reply{Signed: true, Limit: limit})
	if diff := cmp.Diff(limit, d.fleet.Limit(now, "u")); diff != "" {
		t.Errorf("limit (-want +got):\n%s", diff)
	}
}

// TestEntryFrozenAtItsStartKeepsTheSharedRetryBudget freezes an entry for 4 s from its start, so that it has heard no other of
// the six when it wakes.
func TestEntryFrozenAtItsStartKeepsTheSharedRetryBudget(t *testing.T) {
	const entries = 6
	settings := Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 52}
	begun := time.Now()
	d := newFleet(settings, 1, begun)[0]
	d.Tick(begun)
	d.setAnnounced(entries)
	woken := begun.Add(4 * time.Second)
	d.Tick(woken)
	if got, most := d.retryAllowance(woken), settings.RetryAllowance/entries; got > most {
		t.Errorf("allowance of %.1f right after the freeze, one part in %d of the shared one is %.1f", got, entries, most)
	}
}

// failingStore fails every read.
type failingStore struct {
	port.Store
	err error
}

func (s failingStore) Read(context.Context, port.Topic, int64, time.Duration) (batch port.Batch, err error) {
	return batch, s.err
}

// TestOwnExcessOfCallsGivesNoGrace has reads fail since the store is out of reach, and since the entries make too many calls.
// Only the former excuses that the entry learns late of new weights.
func TestOwnExcessOfCallsGivesNoGrace(t *testing.T) {
	got := map[string]bool{}
	for name, err := range map[string]error{"out of reach": context.DeadlineExceeded, "refused": port.ErrRefused, "too many calls": port.ErrOverRate} {
		log := slog.New(slog.DiscardHandler)
		f := newFeed(&Daemon{store: failingStore{err: err}, log: log, controller: newFleet(Settings{}, 1, time.Now())[0]}, port.Operator, 0, 0, operatorMaxAge)
		f.watch.Update(watch.ReadMsg{Next: 5, At: time.Now(), Snapshot: true})
		if f.step(t.Context(), 5, 0) == nil {
			t.Fatal("the read did not fail")
		}
		got[name] = !f.failedAt.IsZero()
	}
	if diff := cmp.Diff(map[string]bool{"out of reach": true, "refused": true, "too many calls": false}, got); diff != "" {
		t.Errorf("reads that excuse the entry (-want +got):\n%s", diff)
	}
}
