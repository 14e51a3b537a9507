package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

func identify(d poison.Digest) func() poison.Keys {
	return func() poison.Keys { return poison.Keys{Request: d} }
}

// isSuspect reports whether a request may run only on trial.
func isSuspect(d *Controller, request poison.Digest) bool {
	return len(d.Screen(identify(request)).Trials) > 0
}

func upstream(id ident.UpstreamID, born int64) conf.Upstream {
	return conf.Upstream{ID: id, Service: "app", Address: "addr-" + string(id), Zone: "z", Slots: 8, Born: born}
}

// TestWhichBreaksAreLosses breaks attempts off, or leaves them silent, at upstreams in various conditions, and then
// removes the upstreams. The request is suspect only if they count as losses.
func TestWhichBreaksAreLosses(t *testing.T) {
	type step func(d *Controller, now time.Time, id ident.UpstreamID)
	listed := func(d *Controller, now time.Time, id ident.UpstreamID) { d.applyUpstream(now, upstream(id, 1)) }
	draining := func(d *Controller, now time.Time, id ident.UpstreamID) {
		u := upstream(id, 1)
		u.Draining = true
		d.applyUpstream(now, u)
	}
	reborn := func(d *Controller, now time.Time, id ident.UpstreamID) { d.applyUpstream(now, upstream(id, 2)) }
	gone := func(d *Controller, now time.Time, id ident.UpstreamID) {
		d.perform(d.fleet.Update(now, fleet.RemovedMsg{ID: id}))
	}
	breakOff := func(d *Controller, now time.Time, id ident.UpstreamID) {
		d.recordLoss(now, relay.Break{Upstream: id, Born: 1, Digest: "d", SentAt: now.Add(-2 * time.Second)})
	}
	silence := func(d *Controller, now time.Time, id ident.UpstreamID) {
		d.recordLoss(now, relay.Break{Upstream: id, Born: 1, Digest: "d", SentAt: now.Add(-2 * time.Second), Silent: true})
	}
	refuse := func(d *Controller, now time.Time, id ident.UpstreamID) { d.observeEnd(now, id) }
	cases := map[string][]step{
		"broken off and removed":            {listed, breakOff, gone},
		"broken off and reborn":             {listed, breakOff, reborn},
		"broken off and refusing":           {listed, breakOff, refuse},
		"broken off and still there":        {listed, breakOff},
		"broken off while draining":         {listed, draining, breakOff, gone},
		"broken off after its removal":      {listed, gone, breakOff},
		"broken off after its rebirth":      {listed, reborn, breakOff},
		"broken off after draining, reborn": {listed, draining, reborn, breakOff},
		"broken off after removal, reborn":  {listed, gone, reborn, breakOff},
		"silent and removed":                {listed, silence, gone},
		"silent and still there":            {listed, silence},
		"silent until after its removal":    {listed, gone, silence},
		"silent until after its rebirth":    {listed, reborn, silence},
		"silent after draining and removal": {listed, draining, gone, silence},
	}
	want := map[string]bool{
		"broken off and removed": true, "broken off and reborn": true, "broken off and refusing": true, "broken off and still there": false,
		"broken off while draining": false, "broken off after its removal": false, "broken off after its rebirth": true,
		"broken off after draining, reborn": false, "broken off after removal, reborn": false, "silent and removed": true, "silent and still there": false,
		"silent until after its removal": true, "silent until after its rebirth": true, "silent after draining and removal": false,
	}
	got := map[string]bool{}
	for name, steps := range cases {
		now := time.Now()
		d := newFleet(Settings{}, 1, now)[0]
		for i := range 2 {
			for _, s := range steps {
				s(d, now, ident.UpstreamID(fmt.Sprint("u", i)))
			}
		}
		// A loss without confirmation stops to count after this time.
		d.poison.Tick(now.Add(time.Minute))
		d.handleEvidence(now)
		got[name] = isSuspect(d, "d")
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("suspect after two of them (-want +got):\n%s", diff)
	}
}

// TestLostListKeepsLossesPending lets the list of upstreams be unreadable for longer than a loss may take to be confirmed.
func TestLostListKeepsLossesPending(t *testing.T) {
	now := time.Now()
	d := newFleet(Settings{}, 1, now)[0]
	for i := range 2 {
		id := ident.UpstreamID(fmt.Sprint("u", i))
		d.applyUpstream(now, upstream(id, 1))
		d.recordLoss(now, relay.Break{Upstream: id, Born: 1, Digest: "d", SentAt: now})
	}
	d.updateFleet(fleet.ListLostMsg{})
	for i := range 30 {
		d.Tick(now.Add(time.Duration(i) * time.Second))
	}
	now = now.Add(30 * time.Second)
	d.updateFleet(fleet.ListRestoredMsg{})
	for i := range 2 {
		d.applyUpstream(now, upstream(ident.UpstreamID(fmt.Sprint("u", i)), 2))
	}
	d.Tick(now.Add(time.Minute))
	if !isSuspect(d, "d") {
		t.Error("the losses were dropped while they could not be confirmed")
	}
}

// TestInspectionDecidesLosses asks the upstreams of a suspect while the list can't be read, and lets them answer in various
// ways. Losses that nothing decides stay pending.
func TestInspectionDecidesLosses(t *testing.T) {
	cases := map[string]struct {
		state          port.State
		moved, refused bool
	}{
		"restarted": {state: port.State{Born: 2}}, "not there": {moved: true}, "refusing": {refused: true}, "the same": {state: port.State{Born: 1}}, "unknown": {},
	}
	type outcome struct{ Suspect, Asked bool }
	got := map[string]outcome{}
	for name, answer := range cases {
		now := time.Now()
		d := newFleet(Settings{}, 1, now)[0]
		d.updateFleet(fleet.ListLostMsg{})
		for i := range 2 {
			id := ident.UpstreamID(fmt.Sprint("u", i))
			d.applyUpstream(now, upstream(id, 1))
			d.recordLoss(now, relay.Break{Upstream: id, Born: 1, Digest: "d", SentAt: now})
		}
		asked := d.questions(now)
		if diff := cmp.Diff([]string{"addr-u0", "addr-u1"}, []string{asked[0].addr, asked[1].addr}); diff != "" {
			t.Errorf("asked (-want +got):\n%s", diff)
		}
		for _, q := range asked {
			d.applyInspection(now.Add(time.Millisecond), q.loss, answer.state, answer.moved, answer.refused)
		}
		got[name] = outcome{isSuspect(d, "d"), len(d.questions(now)) > 0}
	}
	want := map[string]outcome{"restarted": {Suspect: true}, "not there": {Suspect: true}, "refusing": {Suspect: true}, "the same": {}, "unknown": {Suspect: true, Asked: true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("suspect, and asked again, after the answers (-want +got):\n%s", diff)
	}
}

// TestSilenceConfirmsTheEarlierIncarnationAlone confirms only losses of the earlier incarnation when an upstream stayed silent until after its restart.
func TestSilenceConfirmsTheEarlierIncarnationAlone(t *testing.T) {
	now := time.Now()
	d := newFleet(Settings{}, 1, now)[0]
	d.applyUpstream(now, upstream("u", 2))
	d.recordLoss(now, relay.Break{Upstream: "u", Born: 2, Digest: "later", SentAt: now})
	d.recordLoss(now, relay.Break{Upstream: "u", Born: 1, Digest: "d", SentAt: now.Add(-2 * time.Second), Silent: true})
	d.poison.Tick(now.Add(time.Minute))
	if got := d.poison.Views(now); len(got) != 1 || got[0].Digest != "d" {
		t.Errorf("requests with losses that count: %+v", got)
	}
}

// BenchmarkScreen screens a request with a body of 8 KiB while nothing has crashed, and after a crash.
func BenchmarkScreen(b *testing.B) {
	digester, body := poison.NewDigester(make([]byte, secretSize)), string(make([]byte, 8<<10))
	for _, crashes := range []int{0, 1} {
		b.Run(fmt.Sprint("losses=", crashes), func(b *testing.B) {
			now := time.Now()
			d := newFleet(Settings{}, 1, now)[0]
			for i := range crashes {
				id := ident.UpstreamID(fmt.Sprint("u", i))
				d.applyUpstream(now, upstream(id, 1))
				d.recordLoss(now, relay.Break{Upstream: id, Born: 1, Digest: "d", SentAt: now})
			}
			for b.Loop() {
				d.Screen(func() poison.Keys {
					return poison.Keys{Request: digester.Digest("org", "POST", "host", "/path", body)}
				})
			}
		})
	}
}

// TestNewWeightsGivePartsAnotherTrial names new weights after a part came into quarantine, which these may run. It is tried
// again once the upstreams have had the time to load them, and not before.
func TestNewWeightsGivePartsAnotherTrial(t *testing.T) {
	const grace = 6 * time.Second
	now := time.Now().Add(-time.Minute)
	d := newFleet(Settings{VersionGrace: grace}, 1, now)[0]
	part := poison.NewDigester([]byte("s")).Part("", "p")
	body := encodeBody(poison.QuarantineBody{
		Digest: part, Losses: []poison.Loss{{Upstream: "u", Boot: "1"}}, SinceMS: now.UnixMilli(), Tried: 1,
	})
	if err := d.poison.Receive(now, poison.KindQuarantine, body); err != nil {
		t.Fatal(err)
	}
	mayRun := func(at time.Time) bool {
		alone := func(poison.Digest) poison.Turn { return poison.Turn{Entries: 1} }
		return d.poison.Judge(at, poison.Keys{Request: "r", Parts: []poison.Digest{part}}, alone).Standing == poison.Suspect
	}
	d.Tick(now)
	got := []bool{mayRun(now.Add(30 * time.Second))}
	d.applyEvents(now, &feed{topic: port.Operator}, records{events: []any{port.VersionEvent{Model: "m", Version: 2}}, since: now})
	for _, after := range []time.Duration{time.Second, grace + time.Second} {
		d.Tick(now.Add(after))
		got = append(got, mayRun(now.Add(after+15*time.Second)))
	}
	if diff := cmp.Diff([]bool{false, false, true}, got); diff != "" {
		t.Errorf("tried again before new weights, soon after they were named, and later (-want +got):\n%s", diff)
	}
}

// TestPartsReachOtherEntriesInDatagrams sends the records about a part through the form that they have between entries.
func TestPartsReachOtherEntriesInDatagrams(t *testing.T) {
	now := time.Now()
	entries := newFleet(Settings{}, 2, now)
	part := poison.NewDigester([]byte("s")).Part("", "p")
	for i := range 2 {
		id := ident.UpstreamID(fmt.Sprint("u", i))
		for _, d := range entries {
			d.applyUpstream(now, upstream(id, 1))
		}
		entries[0].recordLoss(now, relay.Break{
			Upstream: id, Born: 1, Digest: poison.Digest(fmt.Sprintf("%064d", i)), Parts: []poison.Digest{part}, SentAt: now,
		})
	}
	var m gossip.Message
	entries[0].shareEvidence(now, 2, &m)
	entries[1].applyEvidence(now, &m)
	if got := entries[1].poison.Standing(now, part); got != poison.Suspect {
		t.Errorf("standing %d at the other entry", got)
	}
}
