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

// configState returns the folded state of a configuration after one proposal.
func configState(t *testing.T) ledger.State {
	t.Helper()
	rec, err := ledger.NewRecord("p", ledger.KindConfig, "entry-1", ledger.ConfigBody{Operator: "test", Text: recordedRules})
	if err != nil {
		t.Fatal(err)
	}
	c := ledger.NewConfig()
	c.Update(time.Time{}, ledger.BatchMsg{Stream: ledger.StreamConfig, Entries: []ledger.Entry{{Record: rec}}, Next: 1})
	return c.State()
}

// recordJournal returns the journal of a node that processes messages.
func recordJournal(t *testing.T, msgs ...ident.Msg) (entries []record.Entry) {
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

func TestReplaySkipsDuplicateSegments(t *testing.T) {
	entries := recordJournal(t, ledger.PeerStatesMsg{States: []ledger.State{configState(t)}})
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

// rulesInForce returns the rules that come into force when a message is replayed with other rules.
func rulesInForce(t *testing.T, msg ident.Msg) (texts []string) {
	t.Helper()
	r := replay.NewReplayer(replay.WithRules(otherRules))
	for _, e := range recordJournal(t, msg) {
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

func TestOverrideReplacesRulesOfSnapshotsAndPeers(t *testing.T) {
	state := configState(t)
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

// TestOverrideReplacesProposedRules replays an operator's proposal made through the entry itself.
func TestOverrideReplacesProposedRules(t *testing.T) {
	body := ledger.ConfigBody{Operator: "test", Text: recordedRules}
	rec, err := ledger.NewRecord("p", ledger.KindConfig, "entry-0", body)
	if err != nil {
		t.Fatal(err)
	}
	r := replay.NewReplayer(replay.WithRules(otherRules))
	for _, e := range recordJournal(t, ledger.ProposeMsg{Request: "r", ID: "p", Body: body}, ledger.BatchMsg{
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

// TestOverriddenStateEqualsFoldedState compares a state whose rules were replaced with the fold of a proposal of
// these rules. A difference would make a replay with other rules diverge from each later snapshot.
func TestOverriddenStateEqualsFoldedState(t *testing.T) {
	state := configState(t)
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
