package daemon

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/poison"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// TestDeadUpstreamCountsOnce sends a request twice to an upstream that ended under its first attempt. Its proxy accepts and resets
// connections, so that the second attempt breaks off like the first. One crash counted twice then, which made innocent requests
// suspect. The second break must count if the upstream answered in between, as it may have restarted unseen.
func TestDeadUpstreamCountsOnce(t *testing.T) {
	type step func(d *Controller, now time.Time)
	answer := func(age time.Duration, reply port.Reply) step {
		return func(d *Controller, now time.Time) {
			d.ObserveReply(relay.Exchange{Upstream: "u", Born: 1, SentAt: now.Add(-age), Opened: true}, reply)
		}
	}
	const recent, old = 500 * time.Millisecond, 3 * time.Second
	broke := func(at, sentAt time.Duration, b relay.Break) step {
		return func(d *Controller, now time.Time) {
			b.Upstream, b.Born, b.Digest, b.SentAt = "u", 1, "d", now.Add(sentAt)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.recordLoss(now.Add(at), b)
		}
	}
	first, second := broke(-time.Second, -old, relay.Break{}), broke(0, -recent, relay.Break{})
	cases := map[string]struct {
		steps  []step
		losses int
	}{
		"no contact":               {[]step{first, second}, 1},
		"contact before the break": {[]step{answer(2*time.Second, port.Reply{Signed: true}), first, second}, 1},
		"contact since":            {[]step{first, answer(recent, port.Reply{Signed: true}), second}, 2},
		"rejected since":           {[]step{first, answer(recent, port.Reply{NotRun: true, Upstream: "u"}), second}, 2},
		"answered by a proxy":      {[]step{first, answer(recent, port.Reply{}), second}, 1},
		"answered by another":      {[]step{first, answer(recent, port.Reply{Signed: true, Misdirected: true, Upstream: "v"}), second}, 1},
		"connection opened": {[]step{first, func(d *Controller, now time.Time) {
			d.observeProbe(now, "u", now.Add(-recent), true)
		}, second}, 1},
		"connection of another entry": {[]step{first, func(d *Controller, now time.Time) {
			d.hearReach(now, now, &gossip.Message{Contacts: []gossip.Contact{{Upstream: "u", AgeMS: 100}}})
		}, second}, 1},
		"silent twice":  {[]step{broke(-time.Second, -old, relay.Break{Silent: true}), broke(0, -recent, relay.Break{Silent: true})}, 1},
		"sent together": {[]step{first, broke(0, -old, relay.Break{})}, 1},
		"contact, then another request breaks off": {[]step{first, answer(recent, port.Reply{Signed: true}), func(d *Controller, now time.Time) {
			d.recordLoss(now.Add(-recent/2), relay.Break{Upstream: "u", Born: 1, Digest: "other", SentAt: now.Add(-recent)})
		}, broke(0, -recent/4, relay.Break{})}, 1},
		"next incarnation listed": {[]step{first, func(d *Controller, now time.Time) { d.applyUpstream(now, upstream("u", 2)) }, second}, 1},
		"reported by another entry": {[]step{func(d *Controller, now time.Time) {
			d.poison.ReceiveLoss(now.Add(-time.Second), poison.LossBody{Digest: "d", Loss: poison.Loss{Upstream: "u", Boot: "1"}})
		}, second}, 1},
		"recalled after a restart": {[]step{func(d *Controller, now time.Time) {
			body := poison.SuspectBody{Digest: "d", SinceMS: now.UnixMilli(), Losses: []poison.LossBody{{Loss: poison.Loss{Upstream: "u", Boot: "1"}}}}
			if _, err := d.poison.Recall(now.Add(-time.Second), encodeBody(body)); err != nil {
				t.Error(err)
			}
		}, second}, 1},
	}
	want, got := map[string]int{}, map[string]int{}
	for name, c := range cases {
		now := time.Now()
		d := newFleet(Settings{}, 1, now)[0]
		d.applyUpstream(now, upstream("u", 1))
		for _, s := range c.steps {
			s(d, now)
		}
		want[name] = c.losses
		for _, v := range d.poison.Views(now) {
			if v.Digest == "d" {
				got[name] = len(v.Losses)
			}
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("losses (-want +got):\n%s", diff)
	}
}
