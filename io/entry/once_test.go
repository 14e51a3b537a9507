package entry_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
)

// soakEnv is the environment variable that enables the long runs.
const soakEnv = "CICADAVALVE_SOAK"

// campaigns are the combinations of faults under which calls must run at most once.
var campaigns = map[string]faults{
	"lost_answers": {log: fakes.LogFaults{LoseAnswers: 0.3}},
	"kills":        {log: fakes.LogFaults{LoseAnswers: 0.1}, app: fakes.AppFaults{DelayMs: 150}, kill: true},
	"pauses":       {pause: true, log: fakes.LogFaults{DelayMs: 20}},
	"outages":      {outage: true},
	"upstream":     {app: fakes.AppFaults{DropBefore: 0.1, DropAfter: 0.1, Refuse: 0.2, DelayMs: 5}, silent: true},
	"all": {
		log:    fakes.LogFaults{LoseAnswers: 0.1, DelayMs: 5},
		app:    fakes.AppFaults{DropBefore: 0.05, DropAfter: 0.05, Refuse: 0.1, DelayMs: 5},
		outage: true, kill: true, pause: true, silent: true,
	},
}

func TestCallsRunAtMostOnceUnderFaults(t *testing.T) {
	for name, f := range campaigns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			startCampaign(t, f, 1).run(1, 400)
		})
	}
}

func TestSoakCallsRunAtMostOnceUnderFaults(t *testing.T) {
	if os.Getenv(soakEnv) == "" {
		t.Skipf("set %s=1 to run this test", soakEnv)
	}
	for seed := range uint64(2) {
		for name, f := range campaigns {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				startCampaign(t, f, seed+1).run(seed+1, 3000)
			})
		}
	}
}

// TestUnconfiguredEntryDoesNotReportNotRun sends a call with a key to an entry without a configuration. Such an entry
// can't rule out that the call ran through another entry, so its refusal must not claim that it did not run.
func TestUnconfiguredEntryDoesNotReportNotRun(t *testing.T) {
	c, err := bench.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	e, err := c.AddEntry("dunedin")
	if err != nil {
		t.Fatal(err)
	}
	a, err := bench.Call(t.Context(), e, bench.Token, "/v1/call/booking/x", "key", "{}")
	if err != nil {
		t.Fatal(err)
	}
	code, notRun := a.Refusal()
	if diff := cmp.Diff([]any{"not_ready", false}, []any{code, notRun}); diff != "" {
		t.Errorf("code and not_run (-want +got):\n%s", diff)
	}
}

// TestKeysOfRemovedServiceAreRemembered repeats a call that ran, after the rules no longer contain its service. No entry
// may report that the call did not run.
func TestKeysOfRemovedServiceAreRemembered(t *testing.T) {
	c, ctx := startCluster(t, 2)
	for _, e := range c.Entries() {
		waitMember(ctx, t, c, e)
	}
	type answer struct {
		Status int
		Code   string
		NotRun bool
	}
	call := func(e *bench.Entry, key string) (got answer) {
		a, err := bench.Call(ctx, e, bench.Token, "/v1/call/booking/slot", key, "{}")
		if err != nil {
			t.Fatal(err)
		}
		got.Status = a.Status
		got.Code, got.NotRun = a.Refusal()
		return got
	}
	if diff := cmp.Diff(answer{Status: 200}, call(c.Entries()[0], "ran")); diff != "" {
		t.Fatalf("first call (-want +got):\n%s", diff)
	}
	applyRules(ctx, t, c, strings.Replace(testRules, "route service booking", "route service other", 1))
	for _, e := range c.Entries() {
		if got := call(e, "ran"); got.NotRun {
			t.Errorf("%s reports not_run for a call that ran: %+v", e.ID, got)
		}
		if diff := cmp.Diff(answer{404, "unknown_service", true}, call(e, "new")); diff != "" {
			t.Errorf("%s, a new key (-want +got):\n%s", e.ID, diff)
		}
	}
}
