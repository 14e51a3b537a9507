package usage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
)

// firstRecorded ticks for a time, lets the first checkpoints and the first record of a window be appended from an offset on, and returns the
// window of that record, 0 if there is none.
func (d *driver) firstRecorded(length time.Duration, era, end int64) int64 {
	for stop := d.now.Add(length); d.now.Before(stop); {
		cmd, ok := find[AppendCmd](d.tick(100 * time.Millisecond))
		if ok && cmd.Record.Counts != nil {
			return cmd.Record.Window
		}
		if ok {
			d.model.Update(d.now, AppendedMsg{Won: true, Era: era, Offset: end, Record: cmd.Record})
			end++
		}
	}
	return 0
}

// TestLostRecordsOfANewProcess starts a holder after the store has come back from a copy without the record of window 100, when the earlier
// records were removed as well or one can't be read. Windows that end within one window of the start must not be recorded anew.
func TestLostRecordsOfANewProcess(t *testing.T) {
	checkpoint := Record{At: time.Unix(503, 0), Groups: []Group{{"b", 1, 100, 2, Counts{"x": 2}}}}
	got := map[string]int64{}
	for name, answers := range map[string][]ReadMsg{
		"removed":    {{Era: 1, Trimmed: true, Next: 10}, {Era: 1, From: 10, Next: 11, End: 11, Records: []Record{checkpoint}}},
		"unreadable": {{Era: 1, Next: 11, End: 11, Records: []Record{checkpoint}, Faulty: true}},
	} {
		d := newDriver("a", 101)
		d.msg.Holds, d.msg.Token, d.msg.Alive, d.msg.Era = true, 1, []Member{{"a", 1}}, 1
		for _, answer := range answers {
			d.tick(200 * time.Millisecond)
			d.model.Update(d.now, answer)
		}
		got[name] = d.firstRecorded(15*time.Second, 1, 11)
	}
	if diff := cmp.Diff(map[string]int64{"removed": 102, "unreadable": 102}, got); diff != "" {
		t.Errorf("first windows recorded (-want +got):\n%s", diff)
	}
}

// TestTopicIsReadAgainAfterTheTimeWentBack starts a holder whose wall clock is 60 s ahead until other entries outvote it. It drops the records
// of windows 99 and 100 that it has read, so it must read the topic again instead of recording these windows anew.
func TestTopicIsReadAgainAfterTheTimeWentBack(t *testing.T) {
	d := newDriver("a", 101)
	d.msg.Holds, d.msg.Token, d.msg.Alive = true, 1, []Member{{"a", 1}}
	log := []Record{{At: time.Unix(500, 0), Window: 99, Counts: Counts{"x": 1}}, {At: time.Unix(505, 0), Window: 100, Counts: Counts{"x": 2}}}
	reads := 0
	answer := func(cmds []ident.Cmd) {
		if _, ok := find[ReadCmd](cmds); ok {
			reads++
			d.model.Update(d.now, ReadMsg{Next: int64(len(log)), End: int64(len(log)), Records: log})
		}
		if cmd, ok := find[AppendCmd](cmds); ok {
			d.model.Update(d.now, AppendedMsg{Won: true, Offset: int64(len(log)), Record: cmd.Record})
			log = append(log, cmd.Record)
		}
	}
	for range 5 {
		d.now = d.now.Add(100 * time.Millisecond)
		d.msg.Wall = d.now.Add(time.Minute)
		answer(d.model.Update(d.now, d.msg))
	}
	for _, entry := range []string{"b", "c"} {
		d.model.Update(d.now, PeerMsg{Entry: entry, Boot: 1, Wall: d.now})
	}
	for range 20 {
		answer(d.tick(100 * time.Millisecond))
	}
	recorded := map[int64]int{}
	for _, record := range log {
		if record.Counts != nil {
			recorded[record.Window]++
		}
	}
	if reads != 2 || recorded[99] != 1 || recorded[100] != 1 {
		t.Errorf("%d reads, records by window: %v", reads, recorded)
	}
}
