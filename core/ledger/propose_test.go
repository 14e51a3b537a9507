package ledger_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

func propose(request, id string, base int64, text string) ledger.ProposeMsg {
	body := ledger.ConfigBody{Base: base, Operator: "op-" + id, Text: text}
	return ledger.ProposeMsg{Request: ident.RequestID(request), ID: id, Body: body}
}

// answers returns the verdicts among the commands by request, and the number of appended records.
func answers(cmds []ident.Cmd) (verdicts map[ident.RequestID]ledger.Verdict, appended int) {
	verdicts = map[ident.RequestID]ledger.Verdict{}
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case ledger.VerdictCmd:
			verdicts[cmd.Request] = cmd.Outcome.Verdict
		case ledger.AppendCmd:
			appended++
		}
	}
	return verdicts, appended
}

// TestProposalLifecycle sends messages to one fold in order and compares the commands after each.
func TestProposalLifecycle(t *testing.T) {
	log := &fakeLog{}
	log.append(proposal(t, "one", 0, "# one"))
	log.append(proposal(t, "two", 1, "# two"))
	f := ledger.NewConfig()
	type result struct {
		Verdicts map[ident.RequestID]ledger.Verdict
		Appended int
	}
	none := map[ident.RequestID]ledger.Verdict{}
	steps := []struct {
		name  string
		after time.Duration
		msg   ident.Msg
		want  result
	}{
		{"before the end of the log", 0, propose("a", "three", 2, "# three"), result{none, 0}},
		{"base not folded yet", 0, log.read(0, 1), result{none, 0}},
		{"base folded", 0, log.read(1, 1), result{none, 1}},
		{"the log failed", 0, ledger.AppendFailedMsg{ID: "three"}, result{map[ident.RequestID]ledger.Verdict{"a": ledger.NotKnownYet}, 0}},
		{"asked again", 0, propose("b", "three", 2, "# three"), result{none, 1}},
		{"deadline", time.Minute, ledger.TickMsg{}, result{map[ident.RequestID]ledger.Verdict{"b": ledger.NotKnownYet}, 0}},
		{"folded id", time.Minute, propose("c", "one", 0, "# one"), result{map[ident.RequestID]ledger.Verdict{"c": ledger.Accepted}, 0}},
		{"other file", time.Minute, propose("d", "one", 0, "# else"), result{map[ident.RequestID]ledger.Verdict{"d": ledger.IDReused}, 0}},
		{"base beyond", time.Minute, propose("e", "nine", 9, "# nine"), result{none, 0}},
	}
	for _, step := range steps {
		var got result
		got.Verdicts, got.Appended = answers(f.Update(start.Add(step.after), step.msg))
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step.name, diff)
		}
	}
}
