package entry_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/bench"
	"cicadavalve/io/stand"
)

// soakVariable asks for the long runs.
const soakVariable = "CICADAVALVE_SOAK"

// campaigns are the sets of faults under which calls run at most once.
var campaigns = map[string]faults{
	"lost_answers": {log: stand.LogFaults{LoseAnswers: 0.3}},
	"kills":        {log: stand.LogFaults{LoseAnswers: 0.1}, kill: true},
	"pauses":       {pause: true, log: stand.LogFaults{DelayMs: 20}},
	"outages":      {outage: true},
	"upstream":     {app: stand.AppFaults{DropBefore: 0.1, DropAfter: 0.1, Refuse: 0.2, DelayMs: 5}, silent: true},
	"all": {
		log:    stand.LogFaults{LoseAnswers: 0.1, DelayMs: 5},
		app:    stand.AppFaults{DropBefore: 0.05, DropAfter: 0.05, Refuse: 0.1, DelayMs: 5},
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
	if os.Getenv(soakVariable) == "" {
		t.Skipf("set %s=1 to run it", soakVariable)
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

func TestCallBeforeTheFirstConfigurationMayHaveRunElsewhere(t *testing.T) {
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
	code, notRun := a.Refused()
	if diff := cmp.Diff([]any{"not_ready", false}, []any{code, notRun}); diff != "" {
		t.Errorf("code and not_run (-want +got):\n%s", diff)
	}
}
