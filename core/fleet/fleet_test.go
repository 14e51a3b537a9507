package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
)

var start = time.Unix(1000, 0)

func listed(id ident.UpstreamID, born int64) fleet.ListedMsg {
	return fleet.ListedMsg{Upstream: conf.Upstream{ID: id, Service: "s", Address: "a", Zone: "z", Slots: 1, Born: born}}
}

func usable(m *fleet.Model, now time.Time, ids ...ident.UpstreamID) (got []bool) {
	for _, id := range ids {
		got = append(got, m.Usable(now, id))
	}
	return got
}

func TestDrainingOrRemovedUpstreamsGetNoWork(t *testing.T) {
	m := fleet.NewModel()
	m.Update(start, listed("drains", 1))
	m.Update(start, listed("goes", 1))
	m.Update(start, listed("stays", 1))
	draining := listed("drains", 1)
	draining.Upstream.Draining = true
	m.Update(start, draining)
	m.Update(start, listed("drains", 1)) // A delayed record from before the drain.
	m.Update(start, fleet.RemovedMsg{ID: "goes"})
	if diff := cmp.Diff([]bool{false, false, true}, usable(m, start, "drains", "goes", "stays")); diff != "" {
		t.Errorf("usable (-want +got):\n%s", diff)
	}
}

func TestOldRecordsDoNotRestoreDepartedUpstreams(t *testing.T) {
	m := fleet.NewModel()
	draining := listed("a", 5)
	draining.Upstream.Draining = true
	m.Update(start, draining)
	m.Update(start, fleet.RemovedMsg{ID: "a"})
	m.Update(start, listed("a", 5))
	late := m.Usable(start, "a")
	m.Update(start, listed("a", 6))
	if diff := cmp.Diff([]bool{false, true}, []bool{late, m.Usable(start, "a")}); diff != "" {
		t.Errorf("usable by a late record and by a new incarnation (-want +got):\n%s", diff)
	}
}

func TestOlderIncarnationIsIgnored(t *testing.T) {
	m := fleet.NewModel()
	m.Update(start, listed("a", 9))
	m.Update(start, listed("a", 8))
	u, _ := m.Get("a")
	if diff := cmp.Diff(int64(9), u.Born); diff != "" {
		t.Errorf("incarnation (-want +got):\n%s", diff)
	}
}

// TestIncarnationOfTheFutureLocksNoUpstreamOut lists an upstream under an incarnation years ahead, draining or not, and removes it or
// not, before its own record is written again.
func TestIncarnationOfTheFutureLocksNoUpstreamOut(t *testing.T) {
	for _, draining := range []bool{false, true} {
		for _, removed := range []bool{false, true} {
			m := fleet.NewModel()
			odd := listed("a", start.AddDate(10, 0, 0).UnixMilli())
			odd.Upstream.Draining = draining
			born := start.Add(-time.Minute).UnixMilli()
			m.Update(start, listed("a", born))
			m.Update(start, odd)
			if removed {
				m.Update(start, fleet.RemovedMsg{ID: "a"})
			}
			m.Update(start, listed("a", born))
			u, _ := m.Get("a")
			if diff := cmp.Diff(born, u.Born); diff != "" || !m.Usable(start, "a") {
				t.Errorf("draining %v, removed %v: usable %v, incarnation (-want +got):\n%s", draining, removed, m.Usable(start, "a"), diff)
			}
			m.Update(start, listed("a", born-1))
			if u, _ := m.Get("a"); u.Born != born {
				t.Errorf("draining %v, removed %v: an older incarnation has replaced it", draining, removed)
			}
		}
	}
}

// TestFastClockMakesNoIncarnationOlder lists an upstream whose clock is ahead by less than the largest error, and an older record.
func TestFastClockMakesNoIncarnationOlder(t *testing.T) {
	m := fleet.NewModel()
	born := start.Add(30 * time.Minute).UnixMilli()
	m.Update(start, listed("a", born))
	m.Update(start, listed("a", born-1))
	if u, _ := m.Get("a"); u.Born != born {
		t.Errorf("incarnation %d has replaced %d", u.Born, born)
	}
}

// TestCopiesOfAnAddressPauseTogether finds another upstream at an address that several upstreams name.
func TestCopiesOfAnAddressPauseTogether(t *testing.T) {
	m := fleet.NewModel()
	elsewhere := listed("elsewhere", 1)
	elsewhere.Upstream.Address = "b"
	m.Update(start, elsewhere)
	for _, id := range []ident.UpstreamID{"owner", "copy1", "copy2"} {
		m.Update(start, listed(id, 1))
	}
	m.Update(start, fleet.AddressReusedMsg{ID: "copy1", Owner: "owner"})
	if diff := cmp.Diff([]bool{true, true, false, false}, usable(m, start, "elsewhere", "owner", "copy1", "copy2")); diff != "" {
		t.Errorf("usable (-want +got):\n%s", diff)
	}
}

// TestUnreadableRecordKeepsWhatUpstreamSaid writes a record that can't be read under the ID of an upstream that asks to back off, by a
// read or a snapshot. The upstream gets no work until its own next record, and its back-off binds beyond that.
func TestUnreadableRecordKeepsWhatUpstreamSaid(t *testing.T) {
	for name, msg := range map[string]ident.Msg{"read": fleet.UnreadableMsg{ID: "a"}, "snapshot": fleet.SnapshotMsg{Unreadable: []ident.UpstreamID{"a"}}} {
		m := fleet.NewModel()
		m.Update(start, listed("a", 1))
		m.Update(start, fleet.RejectedMsg{ID: "a", Born: 1, Backoff: 3 * time.Second})
		cmds := m.Update(start.Add(time.Second), msg)
		cmds = append(cmds, m.DropLapsed(start.Add(4*time.Second))...)
		got := usable(m, start.Add(4*time.Second), "a")
		m.Update(start.Add(2*time.Second), listed("a", 1))
		for _, at := range []time.Duration{2, 4} {
			got = append(got, usable(m, start.Add(at*time.Second), "a")...)
		}
		if diff := cmp.Diff([]bool{false, false, true}, got); diff != "" || len(cmds) > 0 {
			t.Errorf("%s: commands %v, usable before the next record, during the back-off and after it (-want +got):\n%s", name, cmds, diff)
		}
	}
}

// TestUpstreamWithoutReadableRecordIsDropped writes nothing after a record that can't be read.
func TestUpstreamWithoutReadableRecordIsDropped(t *testing.T) {
	m := fleet.NewModel()
	m.Update(start, listed("a", 1))
	m.Update(start, fleet.UnreadableMsg{ID: "a"})
	m.Update(start.Add(5*time.Second), fleet.UnreadableMsg{ID: "a"})
	got := [][]ident.Cmd{m.DropLapsed(start.Add(9 * time.Second)), m.DropLapsed(start.Add(11 * time.Second))}
	if diff := cmp.Diff([][]ident.Cmd{nil, {fleet.GoneCmd{ID: "a", Born: 1}}}, got); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}

// TestIncarnationThatKeepsRegisteringIsFollowed writes records of an incarnation after one of a newer one, which writes no more, now and
// then, or always. Late records of an incarnation that has ended come once or twice.
func TestIncarnationThatKeepsRegisteringIsFollowed(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	got := map[string]int64{}
	for name, newer := range map[string]func(beat int) bool{
		"silent": func(int) bool { return false }, "now and then": func(beat int) bool { return beat%3 == 2 }, "always": func(int) bool { return true },
	} {
		m := fleet.NewModel()
		m.Update(start, listed("a", 5))
		m.Update(start, listed("a", 9))
		for beat := range 6 {
			now := start.Add(time.Duration(beat) * heartbeat)
			m.Update(now, listed("a", 5))
			if newer(beat) {
				m.Update(now, listed("a", 9))
			}
		}
		u, _ := m.Get("a")
		got[name] = u.Born
	}
	if diff := cmp.Diff(map[string]int64{"silent": 5, "now and then": 9, "always": 9}, got); diff != "" {
		t.Errorf("incarnations (-want +got):\n%s", diff)
	}
}

// TestWeightsOfAnotherWriterDoNotStay lists an upstream with weights that it does not have, and then by its own record. Its reports count
// beside its records, which are late.
func TestWeightsOfAnotherWriterDoNotStay(t *testing.T) {
	m := fleet.NewModel()
	record := func(version int64) fleet.ListedMsg {
		msg := listed("a", 1)
		msg.Upstream.Weights = map[ident.ModelName]int64{"m": version}
		return msg
	}
	var got []int64
	for _, msg := range []ident.Msg{record(2), record(1 << 40), record(2), fleet.WeightsMsg{ID: "a", Model: "m", Version: 3}, record(2), record(4), fleet.WeightsMsg{ID: "a", Model: "m", Version: 3}} {
		m.Update(start, msg)
		u, _ := m.Get("a")
		got = append(got, u.Weights["m"])
	}
	if diff := cmp.Diff([]int64{2, 1 << 40, 2, 3, 3, 4, 4}, got); diff != "" {
		t.Errorf("weights after each message (-want +got):\n%s", diff)
	}
}

// TestLapsedUpstreamsMayRegisterAgain lets two records lapse during an outage of the list; one upstream registers
// again in time.
func TestLapsedUpstreamsMayRegisterAgain(t *testing.T) {
	m := fleet.NewModel()
	m.Update(start, listed("back", 1))
	m.Update(start, listed("gone", 1))
	m.Update(start, fleet.ListLostMsg{})
	returned := start.Add(5 * time.Second)
	m.Update(returned, fleet.ListRestoredMsg{})
	m.Update(returned, fleet.RemovedMsg{ID: "back"})
	m.Update(returned, fleet.RemovedMsg{ID: "gone"})
	at := returned.Add(time.Second)
	m.DropLapsed(at)
	during := usable(m, at, "back", "gone")
	m.Update(at, listed("back", 1))
	after := returned.Add(2 * time.Second)
	cmds := m.DropLapsed(after)
	got := [][]bool{during, usable(m, after, "back", "gone")}
	if diff := cmp.Diff([][]bool{{true, true}, {true, false}}, got); diff != "" {
		t.Errorf("usable during and after the grace (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]ident.Cmd{fleet.GoneCmd{ID: "gone", Born: 1}}, cmds); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}

// TestRepeatedFailuresPauseLonger breaks exchanges with an upstream repeatedly: no pause may be shorter than the one
// before, and an answer must end the pause.
func TestRepeatedFailuresPauseLonger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := fleet.NewModel()
		m.Update(start, listed("a", 1))
		now, last := start, time.Duration(0)
		for range rapid.IntRange(1, 8).Draw(t, "breaks") {
			m.Update(now, fleet.BrokenMsg{ID: "a"})
			pause := time.Duration(0)
			for !m.Usable(now.Add(pause), "a") {
				pause += 10 * time.Millisecond
			}
			if pause < last || pause > 5*time.Second {
				t.Fatalf("pause %v after %v", pause, last)
			}
			last, now = pause, now.Add(pause)
		}
		m.Update(now, fleet.BrokenMsg{ID: "a"})
		m.Update(now, fleet.AnsweredMsg{ID: "a"})
		if !m.Usable(now, "a") {
			t.Fatal("paused after a good answer")
		}
	})
}

func TestAvoidedZoneGetsNoWork(t *testing.T) {
	m := fleet.NewModel()
	m.Update(start, listed("a", 1))
	m.Update(start, fleet.AvoidMsg{Zone: "z", Avoided: true})
	out := m.Usable(start, "a")
	m.Update(start, fleet.AvoidMsg{Zone: "z", Avoided: false})
	if diff := cmp.Diff([]bool{false, true}, []bool{out, m.Usable(start, "a")}); diff != "" {
		t.Errorf("usable while out and after (-want +got):\n%s", diff)
	}
}
