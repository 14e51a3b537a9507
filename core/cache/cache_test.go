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
			ID: ident.UpstreamID(fmt.Sprintf("store-%d", i)), Role: sched.RoleStore,
			Address: fmt.Sprintf("store-%d:1", i), Zone: "az-0",
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

func arrive(id int, org ident.OrgID, root uint64, tokens int) sched.ArriveMsg {
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

// openTransfer is a transfer that a model has requested and that has not ended.
type openTransfer struct {
	entry, id, attempt int
	store              ident.UpstreamID
	export             bool
	deadline           time.Time
}

// simulation drives several entries that share the links to their stores.
type simulation struct {
	t           *rapid.T
	now         time.Time
	limits      cache.Limits
	models      []*cache.Model
	open        []openTransfer
	next        int
	requests    map[int]sched.Request
	version     map[string]ident.Version
	generations map[string]bool
}

// checkCommands checks that each command keeps to its request's organisation and version and to the limits.
func (s *simulation) checkCommands(entry int, cmds []ident.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case cache.ImportCmd:
			s.checkOwner(string(cmd.Request), cmd.Org, cmd.Version)
			if cmd.Deadline <= 0 || cmd.Deadline > s.limits.ImportDeadline {
				s.t.Fatalf("import deadline is %v, the limit is %v", cmd.Deadline, s.limits.ImportDeadline)
			}
			s.addTransfer(openTransfer{entry: entry, id: numericID(cmd.Request), attempt: cmd.Attempt, store: cmd.Store,
				deadline: s.now.Add(cmd.Deadline)})
		case cache.ExportCmd:
			s.checkOwner(string(cmd.Request), cmd.Org, cmd.Version)
			if s.generations[cmd.Generation] {
				s.t.Fatalf("generation %s was used twice", cmd.Generation)
			}
			s.generations[cmd.Generation] = true
			s.addTransfer(openTransfer{entry: entry, id: numericID(cmd.Request), store: cmd.Store, export: true,
				deadline: s.now.Add(cmd.Deadline)})
		}
	}
}

func numericID(id ident.RequestID) (n int) {
	_, _ = fmt.Sscan(string(id), &n)
	return n
}

func (s *simulation) checkOwner(id string, org ident.OrgID, version ident.Version) {
	want := s.requests[numericID(ident.RequestID(id))].Org
	if org != want || version != s.version[id] {
		s.t.Fatalf("request %s of %s on %s: command for %s on %s", id, want, s.version[id], org, version)
	}
}

func (s *simulation) addTransfer(o openTransfer) {
	s.open = append(s.open, o)
	onLink := 0
	for _, other := range s.open {
		if other.store == o.store {
			onLink++
		}
	}
	if onLink > s.limits.LinkTransfers {
		s.t.Fatalf("%d concurrent transfers over the link of %s, the limit is %d", onLink, o.store, s.limits.LinkTransfers)
	}
}

// endTransfer ends an open transfer with a random outcome.
func (s *simulation) endTransfer(i int) {
	o := s.open[i]
	s.open = append(s.open[:i], s.open[i+1:]...)
	id := ident.RequestID(fmt.Sprint(o.id))
	cause := rapid.SampledFrom([]cache.Cause{"", "", "", cache.CauseAbsent, cache.CauseGone, cache.CauseTimeout,
		cache.CauseStore,
		cache.CauseFull, cache.CauseEngine, cache.CauseCancelled}).Draw(s.t, "cause")
	took := time.Duration(rapid.IntRange(1, 400).Draw(s.t, "took")) * time.Millisecond
	if o.export {
		s.checkCommands(o.entry, s.models[o.entry].Update(s.now, cache.ExportedMsg{
			Request: id, Store: o.store, Cause: cause, Stored: 2, Moved: 2, Bytes: 128 << 10, Took: took,
		}))
		return
	}
	s.checkCommands(o.entry, s.models[o.entry].Update(s.now, cache.ImportedMsg{
		Request: id, Attempt: o.attempt, Store: o.store, Cause: cause, Named: 2, Moved: 2, Bytes: 128 << 10,
		Lookup: time.Millisecond, Took: took,
	}))
}

// step advances the time, ends the transfers whose deadline has passed, and runs one random event.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(s.t, "pause")) * time.Millisecond)
	for i := 0; i < len(s.open); {
		if s.now.Before(s.open[i].deadline) {
			i++
			continue
		}
		s.endTransfer(i)
	}
	entry := rapid.IntRange(0, len(s.models)-1).Draw(s.t, "entry")
	m := s.models[entry]
	switch rapid.IntRange(0, 5).Draw(s.t, "event") {
	case 0, 1, 2:
		s.next++
		org := rapid.SampledFrom([]ident.OrgID{"one", "two"}).Draw(s.t, "org")
		msg := arrive(s.next, org, uint64(rapid.IntRange(0, 5).Draw(s.t, "root")),
			rapid.IntRange(500, 9000).Draw(s.t, "tokens"))
		s.requests[s.next] = msg.Request
		s.checkCommands(entry, m.Update(s.now, msg))
		s.send(entry, s.next, 1)
		if rapid.Bool().Draw(s.t, "again") {
			s.send(entry, s.next, 2)
			s.checkCommands(entry, m.Update(s.now, sched.EndMsg{Request: msg.Request.ID, Attempt: 2}))
		} else {
			s.checkCommands(entry, m.Update(s.now, sched.EndMsg{Request: msg.Request.ID, Attempt: 1}))
		}
		s.checkCommands(entry, m.Update(s.now, sched.GoneMsg{Request: msg.Request.ID}))
	case 3:
		s.checkCommands(entry, m.Update(s.now, stores(rapid.IntRange(1, 3).Draw(s.t, "stores"))))
	case 4:
		s.checkCommands(entry, m.Update(s.now, sched.TickMsg{}))
	case 5:
		if len(s.open) > 0 {
			s.endTransfer(rapid.IntRange(0, len(s.open)-1).Draw(s.t, "open"))
		}
	}
}

func (s *simulation) send(entry, id, attempt int) {
	cmd := sendTo(id, attempt, rapid.SampledFrom([]ident.Version{"v1", "v2"}).Draw(s.t, "version"),
		rapid.IntRange(0, 2).Draw(s.t, "engine"))
	s.version[string(cmd.Request)] = cmd.Version
	s.checkCommands(entry, s.models[entry].Update(s.now, cmd))
}

// TestTransfersKeepOrganisationVersionAndLimits runs random events on entries that share stores: each
// command must be for the request's own organisation and version, have a deadline within the limit, and
// keep the number of transfers over its link within LinkTransfers.
func TestTransfersKeepOrganisationVersionAndLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := cache.DefaultLimits()
		limits.LinkTransfers, limits.HeldTTL = rapid.IntRange(1, 5).Draw(t, "transfers"), 0
		s := &simulation{t: t, now: start, limits: limits, requests: map[int]sched.Request{},
			version: map[string]ident.Version{}, generations: map[string]bool{}}
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		for i := range entries {
			s.models = append(s.models, newModel(i, entries, 2, limits))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.step()
		}
	})
}

// decisions returns the commands in short form, with their causes.
func decisions(cmds []ident.Cmd) (found []string) {
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

// TestUselessContextsAreNotExported checks that a context is dropped if it is small, stored or quarantined.
func TestUselessContextsAreNotExported(t *testing.T) {
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
			m.Update(start, arrive(1, "one", 7, tc.tokens))
			got := decisions(m.Update(start, sendTo(1, 1, "v1", 0)))
			if len(got) > 0 {
				msg := cache.ImportedMsg{Request: "1", Attempt: 1, Store: "store-0", Cause: cache.CauseAbsent}
				if tc.stored {
					msg.Cause, msg.Named = "", 4
				}
				m.Update(start, msg)
			}
			got = append(got, decisions(m.Update(start, sched.EndMsg{Request: "1", Attempt: 1}))...)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("decisions (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSlowLinkIsAvoidedAndRetried lets an import miss its deadline: the next request must recompute, and
// one after rateTTL must import again.
func TestSlowLinkIsAvoidedAndRetried(t *testing.T) {
	limits := cache.DefaultLimits()
	limits.HeldTTL = 0
	m := newModel(0, 1, 1, limits)
	var got []string
	for i, at := range []time.Duration{0, time.Second, 12 * time.Second} {
		m.Update(start.Add(at), arrive(i, "one", 7, 4096))
		got = append(got, decisions(m.Update(start.Add(at), sendTo(i, 1, "v1", 0)))...)
		m.Update(start.Add(at), cache.ImportedMsg{
			Request: ident.RequestID(fmt.Sprint(i)), Attempt: 1, Store: "store-0", Cause: cache.CauseTimeout,
		})
	}
	if diff := cmp.Diff([]string{"import", "recompute link_slow", "import"}, got); diff != "" {
		t.Errorf("decisions (-want +got):\n%s", diff)
	}
}
