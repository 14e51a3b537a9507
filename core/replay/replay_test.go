package replay_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/node"
	"cicadavalve/core/record"
	"cicadavalve/core/replay"
)

const (
	recordedRules = "drain az mosgiel # asked by: test\n"
	otherRules    = "drain az oamaru # asked by: test\n"
)

// applied is the state of a configuration's fold after one proposal.
func applied(t *testing.T) ledger.State {
	t.Helper()
	rec, err := ledger.NewRecord("p", ledger.KindConfig, "entry-1", ledger.ConfigBody{Operator: "test", Text: recordedRules})
	if err != nil {
		t.Fatal(err)
	}
	c := ledger.NewConfig()
	c.Update(time.Time{}, ledger.BatchMsg{Stream: ledger.StreamConfig, Entries: []ledger.Entry{{Record: rec}}, Next: 1})
	return c.State()
}

// recorded is the journal of a node that takes messages.
func recorded(t *testing.T, msgs ...ident.Msg) (entries []record.Entry) {
	t.Helper()
	now := time.Unix(0, 0).UTC()
	settings := node.Settings{Entry: "entry-0", Incarnation: "boot", Seed: 1}
	n, j := node.NewNode(settings), record.NewJournal(node.NewRegistry(), 1<<20)
	j.Add(now, node.OpenMsg{Settings: settings}, nil)
	for _, msg := range msgs {
		j.Add(now, msg, n.Update(now, msg))
	}
	for _, line := range j.Lines() {
		e, err := line.Entry()
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, e)
	}
	return entries
}

func TestReplayPassesOverASegmentThatTheLogHasTwice(t *testing.T) {
	entries := recorded(t, ledger.PeerStatesMsg{States: []ledger.State{applied(t)}})
	r := replay.NewReplayer()
	for _, e := range append(entries, entries...) {
		if err := r.Step(e); err != nil {
			t.Fatal(err)
		}
	}
	report := r.Report()
	if diff := cmp.Diff([]int64{2, 0}, []int64{report.Steps, int64(len(report.Differences))}); diff != "" {
		t.Errorf("steps and differences (-want +got):\n%s", diff)
	}
}

// rulesInForce returns the rules in force in the replay of a message by other rules.
func rulesInForce(t *testing.T, msg ident.Msg) (texts []string) {
	t.Helper()
	r := replay.NewReplayer(replay.WithRules(otherRules))
	for _, e := range recorded(t, msg) {
		if err := r.Step(e); err != nil {
			t.Fatal(err)
		}
	}
	for _, d := range r.Report().Differences {
		for _, envelope := range d.Replayed {
			var cmd ledger.InForceCmd
			if envelope.Type == "ledger.InForceCmd" && json.Unmarshal(envelope.Body, &cmd) == nil {
				texts = append(texts, cmd.Text)
			}
		}
	}
	return texts
}

func TestOtherRulesReplaceThoseOfASnapshotAndOfPeers(t *testing.T) {
	state := applied(t)
	snapshot := ledger.Record{ID: "s", Kind: ledger.KindSnapshot, Body: state.Encode()}
	msgs := []ident.Msg{
		ledger.BatchMsg{
			Stream: ledger.StreamConfig, Entries: []ledger.Entry{{Offset: 1, Record: snapshot}}, First: 1, Next: 2,
		},
		ledger.PeerStatesMsg{States: []ledger.State{state}},
	}
	for _, msg := range msgs {
		if diff := cmp.Diff([]string{otherRules}, rulesInForce(t, msg)); diff != "" {
			t.Errorf("rules in force after %T (-want +got):\n%s", msg, diff)
		}
	}
}

// TestOtherRulesReplaceThoseOfAnAsking lets an operator propose the recorded rules through the entry.
func TestOtherRulesReplaceThoseOfAnAsking(t *testing.T) {
	body := ledger.ConfigBody{Operator: "test", Text: recordedRules}
	rec, err := ledger.NewRecord("p", ledger.KindConfig, "entry-0", body)
	if err != nil {
		t.Fatal(err)
	}
	r := replay.NewReplayer(replay.WithRules(otherRules))
	for _, e := range recorded(t, ledger.ProposeMsg{Request: "r", ID: "p", Body: body}, ledger.BatchMsg{
		Stream: ledger.StreamConfig, Entries: []ledger.Entry{{Record: rec}}, Next: 1,
	}) {
		if err := r.Step(e); err != nil {
			t.Fatal(err)
		}
	}
	var verdicts []ledger.Verdict
	for _, d := range r.Report().Differences {
		for _, envelope := range d.Replayed {
			var cmd ledger.VerdictCmd
			if envelope.Type == "ledger.VerdictCmd" && json.Unmarshal(envelope.Body, &cmd) == nil {
				verdicts = append(verdicts, cmd.Outcome.Verdict)
			}
		}
	}
	if diff := cmp.Diff([]ledger.Verdict{ledger.Accepted}, verdicts); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// TestOtherRulesDivergeFromNoSnapshot replays a snapshot of what the node has folded itself.
func TestOtherRulesDivergeFromNoSnapshot(t *testing.T) {
	state := applied(t)
	changed := state.WithText(otherRules)
	if diff := cmp.Diff(state.Next, changed.Next); diff != "" {
		t.Errorf("offset (-want +got):\n%s", diff)
	}
	rec, err := ledger.NewRecord("p", ledger.KindConfig, "entry-1", ledger.ConfigBody{Operator: "test", Text: otherRules})
	if err != nil {
		t.Fatal(err)
	}
	c := ledger.NewConfig()
	c.Update(time.Time{}, ledger.BatchMsg{Stream: ledger.StreamConfig, Entries: []ledger.Entry{{Record: rec}}, Next: 1})
	if diff := cmp.Diff(c.State(), changed); diff != "" {
		t.Errorf("state of the other rules (-folded +changed):\n%s", diff)
	}
}
