package cache_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/cache"
	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
	"cicadavalve/core/roll"
	"cicadavalve/core/roster"
	"cicadavalve/core/sched"
)

const rulesText = "route model m class interactive  # asked by: test\nserve model m version v1  # asked by: test\n"

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func members(n int) (msg roll.MembersMsg) {
	for i := range n {
		msg.Members = append(msg.Members, roster.Member{Entry: ident.EntryID(fmt.Sprintf("entry-%d", i))})
	}
	return msg
}

func stores(n int) (msg sched.UpstreamsMsg) {
	for i := range n {
		msg.Upstreams = append(msg.Upstreams, sched.Upstream{
			ID: ident.UpstreamID(fmt.Sprintf("store-%d", i)), Role: sched.RoleStore, Address: fmt.Sprintf("store-%d:1", i), Zone: "az-0",
		})
	}
	return msg
}

func newModel(entry, entries, links int, limits cache.Limits, options ...cache.Option) *cache.Model {
	id := ident.EntryID(fmt.Sprintf("entry-%d", entry))
	m := cache.NewModel(id, ident.BootID("boot-"+id), append(options, cache.WithLimits(limits))...)
	m.Update(start, sched.RulesMsg{Version: 1, Text: rulesText})
	m.Update(start, members(entries))
	m.Update(start, stores(links))
	return m
}

func ask(id int, org ident.OrgID, root uint64, tokens int) sched.ArriveMsg {
	return sched.ArriveMsg{Request: sched.Request{
		ID: ident.RequestID(fmt.Sprint(id)), Org: org, Model: "m", PromptRoot: root, PromptTokens: tokens,
	}}
}

func sendTo(id, attempt int, version ident.Version, engine int) sched.SendCmd {
	return sched.SendCmd{
		Request: ident.RequestID(fmt.Sprint(id)), Attempt: attempt, Version: version,
		Upstream: ident.UpstreamID(fmt.Sprintf("engine-%d", engine)), Address: fmt.Sprintf("engine-%d:1", engine),
	}
}

// open is a transfer that a model ordered and that has not ended.
type open struct {
	entry, id, attempt int
	store              ident.UpstreamID
	export             bool
	until              time.Time
}

// system is several entries that share the links, as a test drives them.
type system struct {
	t       *rapid.T
	now     time.Time
	limits  cache.Limits
	models  []*cache.Model
	open    []open
	next    int
	asked   map[int]sched.Request
	version map[string]ident.Version
	names   map[string]bool
}

// take checks commands against what their request may use.
func (s *system) take(entry int, cmds []ident.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case cache.ImportCmd:
			s.check(string(cmd.Request), cmd.Org, cmd.Version)
			if cmd.Deadline <= 0 || cmd.Deadline > s.limits.ImportDeadline {
				s.t.Fatalf("an import may wait %v, the limit is %v", cmd.Deadline, s.limits.ImportDeadline)
			}
			s.add(open{entry: entry, id: number(cmd.Request), attempt: cmd.Attempt, store: cmd.Store, until: s.now.Add(cmd.Deadline)})
		case cache.ExportCmd:
			s.check(string(cmd.Request), cmd.Org, cmd.Version)
			if s.names[cmd.Generation] {
				s.t.Fatalf("generation %s came twice", cmd.Generation)
			}
			s.names[cmd.Generation] = true
			s.add(open{entry: entry, id: number(cmd.Request), store: cmd.Store, export: true, until: s.now.Add(cmd.Deadline)})
		}
	}
}

func number(id ident.RequestID) (n int) {
	_, _ = fmt.Sscan(string(id), &n)
	return n
}

func (s *system) check(id string, org ident.OrgID, version ident.Version) {
	want := s.asked[number(ident.RequestID(id))].Org
	if org != want || version != s.version[id] {
		s.t.Fatalf("request %s of %s on %s: order for %s on %s", id, want, s.version[id], org, version)
	}
}

func (s *system) add(o open) {
	s.open = append(s.open, o)
	onLink := 0
	for _, other := range s.open {
		if other.store == o.store {
			onLink++
		}
	}
	if onLink > s.limits.LinkTransfers {
		s.t.Fatalf("%d transfers at once over the link of %s, the bound is %d", onLink, o.store, s.limits.LinkTransfers)
	}
}

// end ends one open transfer in one of the ways that it can end.
func (s *system) end(at int) {
	o := s.open[at]
	s.open = append(s.open[:at], s.open[at+1:]...)
	id := ident.RequestID(fmt.Sprint(o.id))
	cause := rapid.SampledFrom([]cache.Cause{"", "", "", cache.CauseAbsent, cache.CauseGone, cache.CauseTimeout, cache.CauseStore,
		cache.CauseFull, cache.CauseEngine, cache.CauseCancelled}).Draw(s.t, "cause")
	took := time.Duration(rapid.IntRange(1, 400).Draw(s.t, "took")) * time.Millisecond
	if o.export {
		s.take(o.entry, s.models[o.entry].Update(s.now, cache.ExportedMsg{
			Request: id, Store: o.store, Cause: cause, Stored: 2, Moved: 2, Bytes: 128 << 10, Took: took,
		}))
		return
	}
	s.take(o.entry, s.models[o.entry].Update(s.now, cache.ImportedMsg{
		Request: id, Attempt: o.attempt, Store: o.store, Cause: cause, Named: 2, Moved: 2, Bytes: 128 << 10, Lookup: time.Millisecond, Took: took,
	}))
}

// step lets one event happen.
func (s *system) step() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(s.t, "pause")) * time.Millisecond)
	for i := 0; i < len(s.open); {
		if s.now.Before(s.open[i].until) {
			i++
			continue
		}
		s.end(i)
	}
	entry := rapid.IntRange(0, len(s.models)-1).Draw(s.t, "entry")
	m := s.models[entry]
	switch rapid.IntRange(0, 5).Draw(s.t, "event") {
	case 0, 1, 2:
		s.next++
		org := rapid.SampledFrom([]ident.OrgID{"one", "two"}).Draw(s.t, "org")
		msg := ask(s.next, org, uint64(rapid.IntRange(0, 5).Draw(s.t, "root")), rapid.IntRange(500, 9000).Draw(s.t, "tokens"))
		s.asked[s.next] = msg.Request
		s.take(entry, m.Update(s.now, msg))
		s.send(entry, s.next, 1)
		if rapid.Bool().Draw(s.t, "again") {
			s.send(entry, s.next, 2)
			s.take(entry, m.Update(s.now, sched.EndMsg{Request: msg.Request.ID, Attempt: 2}))
		} else {
			s.take(entry, m.Update(s.now, sched.EndMsg{Request: msg.Request.ID, Attempt: 1}))
		}
		s.take(entry, m.Update(s.now, sched.GoneMsg{Request: msg.Request.ID}))
	case 3:
		s.take(entry, m.Update(s.now, stores(rapid.IntRange(1, 3).Draw(s.t, "stores"))))
	case 4:
		s.take(entry, m.Update(s.now, sched.TickMsg{}))
	case 5:
		if len(s.open) > 0 {
			s.end(rapid.IntRange(0, len(s.open)-1).Draw(s.t, "open"))
		}
	}
}

func (s *system) send(entry, id, attempt int) {
	cmd := sendTo(id, attempt, rapid.SampledFrom([]ident.Version{"v1", "v2"}).Draw(s.t, "version"), rapid.IntRange(0, 2).Draw(s.t, "engine"))
	s.version[string(cmd.Request)] = cmd.Version
	s.take(entry, s.models[entry].Update(s.now, cmd))
}

// TestOrdersHoldTheirBounds draws the life of entries that share stores: each order is for the request's own
// organisation and version, waits no longer than its limit, and keeps the bound of its link.
func TestOrdersHoldTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := cache.DefaultLimits()
		limits.LinkTransfers, limits.AssumeHeld = rapid.IntRange(1, 5).Draw(t, "transfers"), 0
		s := &system{t: t, now: start, limits: limits, asked: map[int]sched.Request{}, version: map[string]ident.Version{}, names: map[string]bool{}}
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		for i := range entries {
			s.models = append(s.models, newModel(i, entries, 2, limits))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.step()
		}
	})
}

// causes lists why contexts were recomputed or not exported.
func causes(cmds []ident.Cmd) (found []string) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case cache.ImportCmd:
			found = append(found, "import")
		case cache.ExportCmd:
			found = append(found, "export")
		case cache.RecomputeCmd:
			found = append(found, "recompute "+string(cmd.Cause))
		case cache.DropCmd:
			found = append(found, "drop "+string(cmd.Cause))
		}
	}
	return found
}

type allQuarantined struct{}

func (allQuarantined) Quarantined(time.Time, poison.Digest) bool { return true }

// TestExportIsAdmittedByExpectedReturn answers requests whose context is worth nothing in a store.
func TestExportIsAdmittedByExpectedReturn(t *testing.T) {
	cases := map[string]struct {
		tokens int
		stored bool
		option cache.Option
		want   []string
	}{
		"fresh":       {4096, false, cache.WithLimits(cache.DefaultLimits()), []string{"import", "export"}},
		"small":       {1023, false, cache.WithLimits(cache.DefaultLimits()), []string{"drop small"}},
		"stored":      {4096, true, cache.WithLimits(cache.DefaultLimits()), []string{"import", "drop stored"}},
		"quarantined": {4096, false, cache.WithVerdicts(allQuarantined{}), []string{"import", "drop quarantined"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := newModel(0, 1, 1, cache.DefaultLimits(), tc.option)
			m.Update(start, ask(1, "one", 7, tc.tokens))
			got := causes(m.Update(start, sendTo(1, 1, "v1", 0)))
			if len(got) > 0 {
				msg := cache.ImportedMsg{Request: "1", Attempt: 1, Store: "store-0", Cause: cache.CauseAbsent}
				if tc.stored {
					msg.Cause, msg.Named = "", 4
				}
				m.Update(start, msg)
			}
			got = append(got, causes(m.Update(start, sched.EndMsg{Request: "1", Attempt: 1}))...)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("decisions (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSlowLinkIsLeftAndTriedAgain lets an import miss its deadline: the next requests recompute, and after a
// while one tries again.
func TestSlowLinkIsLeftAndTriedAgain(t *testing.T) {
	limits := cache.DefaultLimits()
	limits.AssumeHeld = 0
	m := newModel(0, 1, 1, limits)
	var got []string
	for i, at := range []time.Duration{0, time.Second, 12 * time.Second} {
		m.Update(start.Add(at), ask(i, "one", 7, 4096))
		got = append(got, causes(m.Update(start.Add(at), sendTo(i, 1, "v1", 0)))...)
		m.Update(start.Add(at), cache.ImportedMsg{
			Request: ident.RequestID(fmt.Sprint(i)), Attempt: 1, Store: "store-0", Cause: cache.CauseTimeout,
		})
	}
	if diff := cmp.Diff([]string{"import", "recompute link_slow", "import"}, got); diff != "" {
		t.Errorf("decisions (-want +got):\n%s", diff)
	}
}
