package usage

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
)

// driver ticks one model on a clock without error and collects its commands.
type driver struct {
	model *Model
	now   time.Time
	msg   TickMsg
	// cmds are those of the last call of record.
	cmds []ident.Cmd
}

func newDriver(id string, window int64) *driver {
	return &driver{
		model: NewModel(id, 1, testWindow, testDelay, rand.New(rand.NewPCG(1, 1))), now: time.Unix(0, window*int64(testWindow)),
		msg: TickMsg{Alive: []Member{{"a", 1}, {"b", 1}, {"c", 1}}},
	}
}

// tick ticks every 100 ms for a time and returns the commands.
func (d *driver) tick(length time.Duration) (cmds []ident.Cmd) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(100 * time.Millisecond) {
		d.msg.Wall = d.now
		cmds = append(cmds, d.model.Update(d.now, d.msg)...)
	}
	return cmds
}

// record ticks for 7 s at most, lets checkpoints be appended from an offset on, and returns the append of the counts of window 100, empty if
// there is none, with its offset. The commands are in d.cmds.
func (d *driver) record(era, end int64) (cmd AppendCmd, offset int64) {
	d.cmds = nil
	for range 70 {
		cmds := d.tick(100 * time.Millisecond)
		d.cmds = append(d.cmds, cmds...)
		if cmd, ok := find[AppendCmd](cmds); ok {
			if cmd.Record.Counts != nil && cmd.Record.Window == 100 {
				return cmd, end
			}
			d.model.Update(d.now, AppendedMsg{Won: true, Era: era, Offset: end, Record: cmd.Record})
			end++
		}
	}
	return AppendCmd{}, end
}

// find returns the first command of a type.
func find[T any](cmds []ident.Cmd) (cmd T, ok bool) {
	for _, c := range cmds {
		if cmd, ok = c.(T); ok {
			return cmd, true
		}
	}
	return cmd, false
}

// TestCountersOfEntriesThatAreGoneReachTheHolder keeps counters of an entry that ends. The holder must get them at the end of the window, and
// a new holder at once: the last datagrams of the entry may have reached no other entry.
func TestCountersOfEntriesThatAreGoneReachTheHolder(t *testing.T) {
	gone := Group{"gone", 1, 100, 7, Counts{"x": 7}}
	for name, c := range map[string]struct{ before, after string }{
		"same holder": {"b", "b"}, "new holder": {"b", "c"}, "first holder": {"", "c"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver("a", 100)
			d.msg.Holder = c.before
			d.tick(time.Second)
			d.model.Update(d.now, PeerMsg{Entry: "gone", Boot: 1, Groups: []Group{gone}})
			d.msg.Holder = c.after
			cmds := d.tick(600 * time.Millisecond)
			if c.after == c.before {
				cmds = d.tick(4 * time.Second)
			}
			sent := slices.ContainsFunc(cmds, func(cmd ident.Cmd) bool {
				s, ok := cmd.(SendCmd)
				return ok && slices.Equal(s.To, []string{c.after}) && slices.ContainsFunc(s.Groups, func(g Group) bool { return cmp.Equal(gone, g) })
			})
			if !sent {
				t.Errorf("the holder was not sent %v in %v", gone, cmds)
			}
		})
	}
}

// TestRecordIsRepeatedInANewEra lets the store lose the record of a window. It must be recorded once more with the same counts, though more
// have come since, and not be reported if another record has taken its place. A window of which no record is known must not be recorded.
func TestRecordIsRepeatedInANewEra(t *testing.T) {
	for name, c := range map[string]struct {
		// log is what the store holds in the new era.
		log []Record
		// recorded is whether the window had a record, appended the counts that are recorded then, and reported those that are reported.
		recorded           bool
		appended, reported Counts
	}{
		"lost":      {nil, true, Counts{"x": 2}, Counts{"x": 2}},
		"kept":      {[]Record{{At: time.Unix(505, 0), Window: 100, Counts: Counts{"x": 2}}}, true, nil, Counts{"x": 2}},
		"replaced":  {[]Record{{At: time.Unix(505, 0), Window: 100, Counts: Counts{"x": 3}}}, true, nil, nil},
		"not known": {nil, false, nil, nil},
		"two": {[]Record{
			{At: time.Unix(505, 0), Window: 100, Counts: Counts{"x": 2}}, {At: time.Unix(506, 0), Window: 100, Counts: Counts{"x": 3}},
		}, false, nil, Counts{"x": 2}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver("a", 100)
			d.msg.Holds, d.msg.Token, d.msg.Alive = true, 1, []Member{{"a", 1}}
			d.tick(time.Second)
			d.model.Update(d.now, ReadMsg{})
			d.model.Update(d.now, PeerMsg{Entry: "b", Boot: 1, Groups: []Group{{"b", 1, 100, 2, Counts{"x": 2}}}})
			record, end := d.record(0, 0)
			if record.Record.Window != 100 || !cmp.Equal(Counts{"x": 2}, record.Record.Counts) {
				t.Fatalf("recorded %v", record)
			}
			if c.recorded {
				d.model.Update(d.now, AppendedMsg{Won: true, Offset: end, Record: record.Record})
			} else {
				d.model.Update(d.now, AppendedMsg{})
			}
			d.model.Update(d.now, PeerMsg{Entry: "b", Boot: 1, Groups: []Group{{"b", 1, 100, 9, Counts{"x": 9}}}})
			d.msg.Era = 1
			cmds := d.tick(time.Second)
			read, ok := find[ReadCmd](cmds)
			if diff := cmp.Diff(ReadCmd{}, read); diff != "" || !ok {
				t.Fatalf("read in the new era (-want +got):\n%s", diff)
			}
			end = int64(len(c.log))
			d.model.Update(d.now, ReadMsg{Era: 1, Next: end, End: end, Records: c.log})
			appended, end := d.record(1, end)
			if diff := cmp.Diff(c.appended, appended.Record.Counts); diff != "" {
				t.Errorf("appended (-want +got):\n%s", diff)
			}
			d.model.Update(d.now, AppendedMsg{Won: true, Era: 1, Offset: end, Record: appended.Record})
			cmds = slices.Concat(d.cmds, d.tick(time.Second))
			report, _ := find[ReportCmd](cmds)
			if diff := cmp.Diff(c.reported, report.Counts); diff != "" {
				t.Errorf("reported (-want +got):\n%s", diff)
			}
		})
	}
}

// TestImplausibleCountersAreIgnored sends counters that no entry can have. A sum that overflows would be reported, and windows far away
// would fill the memory.
func TestImplausibleCountersAreIgnored(t *testing.T) {
	for name, g := range map[string]Group{
		"negative": {"b", 1, 100, -1, Counts{"x": -5}}, "huge": {"b", 1, 100, math.MaxInt64, Counts{"x": math.MaxInt64}},
		"past": {"b", 1, 1, 5, Counts{"x": 5}}, "future": {"b", 1, 1 << 40, 5, Counts{"x": 5}}, "last window": {"b", 1, math.MaxInt64, 5, Counts{"x": 5}},
		"first window": {"b", 1, math.MinInt64, 5, Counts{"x": 5}}, "own": {"a", 1, 100, 5, Counts{"x": 5}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver("a", 100)
			d.tick(time.Second)
			d.model.Update(d.now, BeganMsg{"x"})
			d.model.Update(d.now, PeerMsg{Entry: "b", Boot: 1, Through: math.MaxInt64, Groups: []Group{g}})
			d.msg.Holds, d.msg.Token = true, 1
			d.tick(200 * time.Millisecond)
			d.model.Update(d.now, ReadMsg{Next: 2, End: 2, Records: []Record{{At: d.now, Groups: []Group{g}}, {At: d.now, Window: math.MaxInt64, Counts: Counts{"x": 5}}}})
			if diff := cmp.Diff(Counts{"x": 1}, d.model.groups.sum(100)); diff != "" {
				t.Errorf("counts (-want +got):\n%s", diff)
			}
			cmds := d.tick(20 * time.Second)
			if report, ok := find[ReportCmd](cmds); ok {
				t.Errorf("reported %v", report)
			}
			if n := len(d.model.groups) + len(d.model.through) + len(d.model.reporter.reports); n > 0 {
				t.Errorf("%d groups, entries and reports are kept", n)
			}
		})
	}
}

// TestRecordsThatWereRemovedMayHaveBeenOfAWindow lets records be removed that a holder has not read. The window that ended before must not
// be recorded anew, the next one must.
func TestRecordsThatWereRemovedMayHaveBeenOfAWindow(t *testing.T) {
	d := newDriver("a", 100)
	d.msg.Holds, d.msg.Token, d.msg.Alive = true, 1, []Member{{"a", 1}}
	d.tick(time.Second)
	d.model.Update(d.now, ReadMsg{Next: 3, End: 3, Records: []Record{{At: d.now}, {At: d.now}, {At: d.now}}})
	d.msg.Holds = false
	d.tick(5 * time.Second)
	d.msg.Holds, d.msg.Token = true, 2
	d.tick(200 * time.Millisecond)
	d.model.Update(d.now, ReadMsg{From: 3, Trimmed: true, Next: 10})
	d.tick(200 * time.Millisecond)
	d.model.Update(d.now, ReadMsg{From: 10, Next: 10, End: 10})
	cmd, ok := find[AppendCmd](d.tick(5 * time.Second))
	if diff := cmp.Diff(int64(101), cmd.Record.Window); diff != "" || !ok {
		t.Errorf("first window recorded (-want +got):\n%s", diff)
	}
}

// TestCallRate counts the calls of a minute to a provider that refuses all. Too many would take those of other duties, and too few would miss
// windows.
func TestCallRate(t *testing.T) {
	for name, c := range map[string]struct {
		rate        float64
		least, most int
	}{"usual": {4, 60, 120}, "low": {0.5, 20, 30}, "very low": {0.1, 5, 7}, "not known": {0, 60, 300}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 4, 1)
			m := NewModel("entry-0", 1, testWindow, testDelay, w.rng, WithCallRate(c.rate))
			w.entries[0].model, w.entries[0].boot = m, 1
			w.run(20 * time.Second)
			calls := 0
			w.onReport = func(e *entry, cmd ReportCmd) (bool, time.Duration, bool) {
				calls++
				w.after(step, func() { w.update(e, e.boot, ReportedMsg{cmd.Window, Refused}) })
				return false, 0, true
			}
			w.run(time.Minute)
			if calls < c.least || calls > c.most {
				t.Errorf("%d calls a minute, want %d to %d", calls, c.least, c.most)
			}
		})
	}
}
