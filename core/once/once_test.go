package once

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"cicadavalve/core/chart"
	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

func decodeBody(rec ledger.Record) (body Body) {
	_ = json.Unmarshal(rec.Body, &body)
	return body
}

func plainKeys(n int) (keys []Key) {
	for i := range n {
		keys = append(keys, Key{"one", fmt.Sprintf("key-%d", i)})
	}
	return keys
}

func TestKeyRunsAtMostOnceUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, plainKeys(1))
		s.run(t, s.steps())
		s.settle(t)
	})
}

func TestKeyRunsAtMostOnceUnderLogRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, plainKeys(1), WithSnapshotEvery(4))
		steps := s.steps()
		steps["retain"] = step{func(t *rapid.T) {
			s.first = max(s.first, s.next-rapid.Int64Range(0, 8).Draw(t, "kept"))
		}, 2}
		s.run(t, steps)
	})
}

// keyAt returns a UUID of version 7 with the given timestamp.
func keyAt(ms int64, n int) Key {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: byte(n)}
	for i := range uuidTimeBytes {
		id[i] = byte(ms >> (8 * (uuidTimeBytes - 1 - i)))
	}
	return Key{"one", id.String()}
}

func TestExpiredKeysNeverRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var keys []Key
		for i := range 4 {
			keys = append(keys, keyAt(int64(1000*i), i))
		}
		s := newSim(t, keys, WithWindow(6), WithAbandonAge(time.Second))
		steps := s.steps()
		// The window only holds if no record stays in flight for longer than it, so records land in order.
		steps["land"] = step{s.landInOrder, 10}
		s.run(t, steps)
		s.settle(t)
	})
}

// landInOrder appends the oldest record in flight to the log.
func (s *sim) landInOrder(*rapid.T) {
	if len(s.inFlight) > 0 {
		s.log = append(s.log, ledger.Entry{Offset: s.next, Record: s.inFlight[0]})
		s.next++
		s.inFlight = s.inFlight[1:]
	}
}

// follow lets an entry read the whole log, including the records that it appends in response.
func (s *sim) follow(e *simEntry) {
	for range 4 {
		for len(s.inFlight) > 0 {
			s.landInOrder(nil)
		}
		s.readOn(e, 100)
	}
}

// startSim returns a simulation without random steps in which every entry has caught up.
func startSim(options ...Option) *sim {
	s := newSim(nil, plainKeys(1), options...)
	for _, e := range s.entries {
		s.readOn(e, 1)
	}
	return s
}

// responsesTo sends a message to an entry and returns its commands in short form.
func (s *sim) responsesTo(e *simEntry, msg ident.Msg) (cmds []string) {
	for _, cmd := range e.model.Update(s.now, msg) {
		switch cmd := cmd.(type) {
		case AppendCmd:
			s.inFlight = append(s.inFlight, cmd.Record)
			cmds = append(cmds, "append "+string(cmd.Record.Kind))
		case SendCmd:
			cmds = append(cmds, "send")
		case AskCmd:
			cmds = append(cmds, "ask")
			s.pendingRounds = append(s.pendingRounds, pendingRound{e, cmd.Round})
		case AnswerCmd:
			cmds = append(cmds, strings.TrimSpace(fmt.Sprintf("%s %s", cmd.Answer, cmd.Reason)))
		}
	}
	return cmds
}

func (s *sim) callMsg(attempt string) CallMsg {
	return CallMsg{Request: ident.RequestID(attempt), Key: s.keys[0], Digest: "digest", Attempt: attempt}
}

func (s *sim) batch(from int64) ledger.BatchMsg {
	return ledger.BatchMsg{Stream: StreamOnce, Entries: s.log[from:], First: s.first, Next: s.next}
}

func (s *sim) expect(t *testing.T, label string, want, got []string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", label, diff)
	}
}

func TestStartFoldedAfterItsNotRunTakesNoKey(t *testing.T) {
	s := startSim()
	e := s.entries[0]
	s.expect(t, "call", []string{"append start"}, s.responsesTo(e, s.callMsg("a")))
	start := s.inFlight[0]
	s.expect(t, "failed append", []string{"append not_run", "ask"},
		s.responsesTo(e, AppendFailedMsg{Attempt: "a", Kind: KindStart}))
	s.expect(t, "members", []string{"not_run log_unavailable"}, s.responsesTo(e, PositionsMsg{Round: 1, All: true}))
	s.inFlight = []ledger.Record{s.inFlight[1], start, start}
	for range 3 {
		s.landInOrder(nil)
	}
	s.expect(t, "fold", nil, s.responsesTo(e, s.batch(0)))
	s.expect(t, "second call", []string{"append start"}, s.responsesTo(e, s.callMsg("b")))
}

func TestDuplicateStartDoesNotEndCompletedAttempt(t *testing.T) {
	s := startSim()
	e := s.entries[0]
	s.responsesTo(e, s.callMsg("a"))
	s.inFlight = append(s.inFlight, s.inFlight[0])
	s.landInOrder(nil)
	s.expect(t, "won", []string{"send"}, s.responsesTo(e, s.batch(0)))
	s.expect(t, "done", []string{"append done", "result"},
		s.responsesTo(e, DoneMsg{Attempt: "a", Result: &Result{Status: 200}}))
	s.landInOrder(nil)
	s.expect(t, "duplicate start", nil, s.responsesTo(e, s.batch(1)))
}

func TestPausedWinnerDoesNotSendLate(t *testing.T) {
	s := startSim()
	e := s.entries[0]
	s.responsesTo(e, s.callMsg("a"))
	s.landInOrder(nil)
	s.now = s.now.Add(defaultSendLimit + time.Millisecond)
	s.expect(t, "late fold", []string{"append not_run", "not_run log_slow"}, s.responsesTo(e, s.batch(0)))
}

func TestAttemptEndedByAnotherEntryIsNotSent(t *testing.T) {
	s := startSim(WithSendLimit(time.Hour))
	winner, other := s.entries[0], s.entries[1]
	s.responsesTo(winner, s.callMsg("a"))
	s.landInOrder(nil)
	s.responsesTo(other, s.batch(0))
	s.now = s.now.Add(defaultAbandonAge)
	s.expect(t, "call elsewhere", []string{"append unknown", "in_progress"}, s.responsesTo(other, s.callMsg("b")))
	s.landInOrder(nil)
	s.expect(t, "fold of both", []string{"outcome_unknown"}, s.responsesTo(winner, s.batch(0)))
}

func TestAbandonedAttemptEndsAsUnknown(t *testing.T) {
	s := startSim()
	s.responsesTo(s.entries[0], s.callMsg("a"))
	s.landInOrder(nil)
	s.responsesTo(s.entries[0], s.batch(0))
	s.boot(0)
	s.responsesTo(s.entries[1], s.batch(0))
	s.expect(t, "at once", []string{"in_progress"}, s.responsesTo(s.entries[1], s.callMsg("b")))
	s.now = s.now.Add(defaultAbandonAge + abandonSpread)
	s.expect(t, "later", []string{"append unknown"}, s.responsesTo(s.entries[1], TickMsg{}))
	s.landInOrder(nil)
	s.responsesTo(s.entries[1], s.batch(1))
	s.expect(t, "after the end", []string{"outcome_unknown"}, s.responsesTo(s.entries[1], s.callMsg("c")))
	s.responsesTo(s.entries[2], s.batch(0))
	s.now = s.now.Add(time.Hour)
	s.expect(t, "another entry", nil, s.responsesTo(s.entries[2], TickMsg{}))
}

func TestRefusedCallGetsTheStateOfItsKey(t *testing.T) {
	s := startSim()
	e := s.entries[0]
	refused := s.callMsg("a")
	refused.RefuseReason = "unknown_service"
	s.expect(t, "call", []string{"ask"}, s.responsesTo(e, refused))
	s.expect(t, "no member ahead", []string{"not_run unknown_service"},
		s.responsesTo(e, PositionsMsg{Round: 1, All: true}))
	s.expect(t, "second call", []string{"ask"}, s.responsesTo(e, refused))
	s.expect(t, "a member ahead", []string{"not_known unknown_service"},
		s.responsesTo(e, PositionsMsg{Round: 2, All: true, Next: 1}))
	s.responsesTo(s.entries[1], s.callMsg("b"))
	s.follow(s.entries[1])
	s.responsesTo(e, s.batch(0))
	s.expect(t, "call of a started key", []string{"in_progress"}, s.responsesTo(e, refused))
}

// expectUpdate sends one message to an entry and compares its commands.
func (s *sim) expectUpdate(t *testing.T, e *simEntry, label string, msg ident.Msg, want ...string) {
	t.Helper()
	s.expect(t, label, want, s.responsesTo(e, msg))
}

func TestEntryStartsNoCallBeforeAllMembersFoldItsJoin(t *testing.T) {
	s := startSim(WithRoster(time.Second, 5*time.Second))
	e := s.entries[0]
	s.expectUpdate(t, e, "call before the join", s.callMsg("a"), "ask")
	s.expectUpdate(t, e, "doubt", PositionsMsg{Round: 1}, "not_known not_ready")
	s.expectUpdate(t, e, "lease", LeaseMsg{Until: s.now.Add(time.Hour)})
	s.expectUpdate(t, e, "join", MembersMsg{Epoch: 7, Self: "boot", Others: []ident.BootID{"other"}}, "ask")
	s.expectUpdate(t, e, "a member has not folded the join", PositionsMsg{Round: 2, Answered: true, Epoch: 6})
	s.expectUpdate(t, e, "call", s.callMsg("b"), "ask")
	s.expectUpdate(t, e, "a member does not answer", PositionsMsg{Round: 3, Epoch: 9}, "not_known not_ready")
	s.now = s.now.Add(announceInterval)
	s.expectUpdate(t, e, "asked again", TickMsg{}, "ask")
	s.expectUpdate(t, e, "all have folded the join", PositionsMsg{Round: 4, Answered: true, Epoch: 7})
	s.expectUpdate(t, e, "call of a known member", s.callMsg("c"), "append start")
	s.landInOrder(nil)
	s.expectUpdate(t, e, "won", s.batch(0), "send")
	s.expectUpdate(t, e, "a new incarnation", MembersMsg{Epoch: 9, Self: "boot/1", Others: []ident.BootID{"other"}}, "ask")
	s.expectUpdate(t, e, "call of an unknown member", CallMsg{Request: "d", Key: Key{"one", "d"}, Attempt: "d"})
}

func TestEntryStartsNoCallAfterItsLeaseExpires(t *testing.T) {
	s := startSim(WithRoster(time.Second, 5*time.Second))
	e := s.entries[0]
	s.responsesTo(e, LeaseMsg{Until: s.now.Add(time.Second)})
	s.responsesTo(e, MembersMsg{Epoch: 1, Self: "boot"})
	s.responsesTo(e, PositionsMsg{Round: 1, Answered: true, Epoch: 1})
	s.expectUpdate(t, e, "call", s.callMsg("a"), "append start")
	s.landInOrder(nil)
	s.now = s.now.Add(time.Second)
	s.expectUpdate(t, e, "won without a lease", s.batch(0), "append not_run", "not_run log_slow")
	s.follow(e)
	s.responsesTo(e, LeaseMsg{Leaving: s.now})
	s.expectUpdate(t, e, "a leaving entry", s.callMsg("b"), "append start")
	s.now = s.now.Add(time.Second)
	s.expectUpdate(t, e, "past its stay", CallMsg{Request: "c", Key: Key{"one", "c"}, Attempt: "c"}, "ask")
}

func TestNotRunNeedsAFullReadAfterDeparture(t *testing.T) {
	s := startSim(WithRoster(time.Second, 5*time.Second))
	e := s.entries[0]
	s.responsesTo(e, MembersMsg{Epoch: 1, Self: "boot", Others: []ident.BootID{"old", "other"}})
	s.responsesTo(e, PositionsMsg{Round: 1, Answered: true, Epoch: 1})
	s.expectUpdate(t, e, "departure", MembersMsg{Epoch: 2, Self: "boot", Others: []ident.BootID{"other"}})
	departedStopAt := s.now.Add(5 * time.Second)
	s.now = departedStopAt.Add(time.Second)
	all := func(round int64) PositionsMsg { return PositionsMsg{Round: round, All: true, Answered: true, Epoch: 2} }
	s.expectUpdate(t, e, "call", s.callMsg("a"), "ask")
	s.expectUpdate(t, e, "nothing read since", all(2), "not_known not_ready")
	early := ledger.BatchMsg{Stream: StreamOnce, ReadStart: departedStopAt.Add(-time.Nanosecond)}
	s.expectUpdate(t, e, "read that began too early", early)
	s.expectUpdate(t, e, "call", s.callMsg("b"), "ask")
	s.expectUpdate(t, e, "read too early", all(3), "not_known not_ready")
	s.expectUpdate(t, e, "whole read", ledger.BatchMsg{Stream: StreamOnce, ReadStart: departedStopAt})
	s.expectUpdate(t, e, "call", s.callMsg("c"), "ask")
	s.expectUpdate(t, e, "read since", all(4), "not_run not_ready")
}

func TestLogOutageRefusesCallsAtOnce(t *testing.T) {
	s := startSim()
	e := s.entries[0]
	s.responsesTo(e, s.callMsg("a"))
	s.expect(t, "down", []string{"append not_run", "ask"}, s.responsesTo(e, LogMsg{}))
	s.expect(t, "call", nil, s.responsesTo(e, s.callMsg("b")))
	s.expect(t, "members", []string{"not_run log_unavailable", "ask"}, s.responsesTo(e, PositionsMsg{Round: 1, All: true}))
	s.expect(t, "members", []string{"not_run log_unavailable"}, s.responsesTo(e, PositionsMsg{Round: 2, All: true}))
	s.expect(t, "up", nil, s.responsesTo(e, LogMsg{Up: true}))
	s.expect(t, "call", []string{"append start"}, s.responsesTo(e, s.callMsg("c")))
}

func TestRefusalIsUncertainWhileAMemberMayBeAhead(t *testing.T) {
	for name, msg := range map[string]ident.Msg{
		"a member is ahead":       PositionsMsg{Round: 1, All: true, Next: 1},
		"a member doesn't answer": PositionsMsg{Round: 1},
		"no answer in time":       TickMsg{},
	} {
		s := startSim()
		e := s.entries[0]
		s.responsesTo(e, LogMsg{})
		s.expect(t, "call", []string{"ask"}, s.responsesTo(e, s.callMsg("a")))
		if _, tick := msg.(TickMsg); tick {
			s.now = s.now.Add(roundTimeout)
		}
		s.expect(t, name, []string{"not_known log_unavailable"}, s.responsesTo(e, msg))
	}
}

func TestEndIsResentUntilFolded(t *testing.T) {
	s := startSim()
	e := s.entries[0]
	s.responsesTo(e, s.callMsg("a"))
	s.follow(e)
	s.responsesTo(e, DoneMsg{Attempt: "a", Result: &Result{Status: 200}})
	for range 3 {
		s.inFlight = nil
		s.now = s.now.Add(resendInterval)
		s.expect(t, "tick", []string{"append done"}, s.responsesTo(e, TickMsg{}))
	}
	s.follow(e)
	s.now = s.now.Add(resendInterval)
	s.expect(t, "tick after the fold", nil, s.responsesTo(e, TickMsg{}))
}

func TestRepeatedCallGetsTheStoredResult(t *testing.T) {
	for _, tc := range []struct {
		name   string
		size   int
		digest string
		want   []string
	}{
		{"small", 10, "digest", []string{"result"}},
		{"too large", maxKeptResultBytes + 1, "digest", []string{"result_not_kept"}},
		{"other body", 10, "other", []string{"key_reused"}},
	} {
		s := startSim()
		s.responsesTo(s.entries[0], s.callMsg("a"))
		s.follow(s.entries[0])
		s.responsesTo(s.entries[0], DoneMsg{Attempt: "a", Result: &Result{Status: 200, Body: make([]byte, tc.size)}})
		s.follow(s.entries[1])
		msg := s.callMsg("b")
		msg.Digest = tc.digest
		s.expect(t, tc.name, tc.want, s.responsesTo(s.entries[1], msg))
	}
}

func TestEntryWithTruncatedLogRefusesUntilSnapshot(t *testing.T) {
	s := startSim(WithSnapshotEvery(1000))
	s.responsesTo(s.entries[0], s.callMsg("a"))
	s.follow(s.entries[0])
	s.responsesTo(s.entries[0], DoneMsg{Attempt: "a", Result: &Result{Status: 200}})
	s.follow(s.entries[0])
	s.first = s.next
	s.boot(1)
	s.readOn(s.entries[1], 100)
	s.expect(t, "before", []string{"ask"}, s.responsesTo(s.entries[1], s.callMsg("b")))
	s.expect(t, "members", []string{"not_known not_ready"}, s.responsesTo(s.entries[1], PositionsMsg{Round: 1, All: true}))
	s.follow(s.entries[0])
	s.follow(s.entries[1])
	s.expect(t, "after", []string{"result"}, s.responsesTo(s.entries[1], s.callMsg("c")))
}

// TestDesignPageShowsTheCharts compares the drawings on the design page with the charts that the code runs.
func TestDesignPageShowsTheCharts(t *testing.T) {
	page, err := os.ReadFile("../../docs/design/once.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []*chart.Chart{keyChart, attemptChart} {
		if !strings.Contains(string(page), c.Dot()) {
			t.Errorf("docs/design/once.md lacks this drawing of %s:\n%s", c.Name(), c.Dot())
		}
	}
}

// TestCodeMatchesActionsAndGuardsOfTheCharts finds actions and guards that are missing in a chart or its code.
func TestCodeMatchesActionsAndGuardsOfTheCharts(t *testing.T) {
	for file, c := range map[string]*chart.Chart{"key.go": keyChart, "attempt.go": attemptChart} {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		inChart, inCode := map[string]bool{}, map[string]bool{}
		for _, tr := range c.Transitions() {
			if tr.Guard != "" {
				inChart[string(tr.Guard)] = true
			}
			for _, a := range tr.Actions {
				inChart[string(a)] = true
			}
		}
		for _, m := range regexp.MustCompile(`case "(\w+)":|g == "(\w+)"`).FindAllStringSubmatch(string(source), -1) {
			inCode[m[1]+m[2]] = true
		}
		if diff := cmp.Diff(inChart, inCode); diff != "" {
			t.Errorf("%s (-chart +code):\n%s", file, diff)
		}
	}
}
