package place_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
)

// plainConfig has the plain service of [newPlainBench] and a store.
func plainConfig(engine *conf.Engine) *conf.Set {
	return conf.NewSet(conf.Data{
		Services: []conf.Service{
			{Name: "app", Engine: engine},
			{Name: "store", Store: &conf.Store{Address: "s", Zone: "z", Capacity: 1 << 20, Link: 300e9}},
		},
		Routes: []conf.Route{{Objective: 300 * time.Millisecond, Shares: []conf.Share{{Service: "app", Weight: 1}}}},
	})
}

// newPlainBench has two upstreams of a plain service, and a store that has the first part of the prompt of plainNeed.
func newPlainBench() *bench {
	b := newBench(0, 0)
	b.place.SetConfig(plainConfig(nil))
	for i := range 2 {
		b.fleet.Update(start, fleet.ListedMsg{Upstream: conf.Upstream{ID: engineID(i), Service: "app", Address: string(engineID(i)), Zone: "z", Slots: 4}})
	}
	held := parts.NewKey(place.Salt("", model, 0), "doc")
	b.index.Update(start, parts.ReportMsg{Holder: "s", Epoch: 1, Changes: []parts.Change{{Key: held, Tokens: 800}}})
	return b
}

func plainNeed(ticket place.Ticket) place.Need {
	n := need(ticket, start, 800, "doc", 300*time.Millisecond)
	n.Service = "app"
	return n
}

// TestPlainServiceTakesNoPartInKeptContext sends a prompt to a plain service: the call is sent as any other, and again
// after a failure.
func TestPlainServiceTakesNoPartInKeptContext(t *testing.T) {
	b := newPlainBench()
	cmds := b.place.Update(start, place.ArriveMsg{Need: plainNeed(1)})
	cmds = append(cmds, b.place.Update(start, place.FirstByteMsg{Ticket: 1})...)
	cmds = append(cmds, b.place.Update(start, place.RetryMsg{Ticket: 1, Outcome: place.Failed})...)
	cmds = append(cmds, b.place.Update(start, place.EndMsg{Ticket: 1})...)
	var got []place.SendCmd
	for _, s := range sends(cmds) {
		got = append(got, place.SendCmd{Ticket: s.Ticket, Model: s.Model, Version: s.Version, Salt: s.Salt, Fetch: s.Fetch, Save: s.Save, Missing: s.Missing})
	}
	if diff := cmp.Diff([]place.SendCmd{{Ticket: 1}, {Ticket: 1}}, got); diff != "" || len(cmds) != 2 {
		t.Errorf("%d commands, sent (-want +got):\n%s", len(cmds), diff)
	}
	if loads := b.place.Loads(); len(loads) > 0 {
		t.Errorf("load left: %+v", loads)
	}
}

// TestServiceThatBecomesPlainKeepsItsRequests places a prompt on an engine, makes the service plain and then one of
// engines again, with a retry and the end in between.
func TestServiceThatBecomesPlainKeepsItsRequests(t *testing.T) {
	engine := &conf.Engine{Slots: 4, Memory: 100_000, TokenSize: 20_000, Link: 300e9}
	b := newPlainBench()
	var models []ident.ModelName
	for step, e := range []*conf.Engine{engine, nil, engine} {
		b.place.SetConfig(plainConfig(e))
		msg := ident.Msg(place.RetryMsg{Ticket: 1, Outcome: place.Rejected})
		if step == 0 {
			msg = place.ArriveMsg{Need: plainNeed(1)}
		}
		for _, s := range sends(b.place.Update(start, msg)) {
			models = append(models, s.Model)
		}
	}
	b.place.SetConfig(plainConfig(nil))
	b.place.Update(start, place.FirstByteMsg{Ticket: 1})
	b.place.Update(start, place.EndMsg{Ticket: 1})
	if diff := cmp.Diff([]ident.ModelName{model, "", model}, models); diff != "" {
		t.Errorf("models of the requests sent (-want +got):\n%s", diff)
	}
	if loads := b.place.Loads(); len(loads) > 0 {
		t.Errorf("load left: %+v", loads)
	}
}
