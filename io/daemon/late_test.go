package daemon

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/mesh"
	"cicadavalve/core/watch"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
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
		d.observeLimit(lastTick.Add(-100*time.Millisecond), "u", port.Reply{Signed: true, Limit: limit})
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
