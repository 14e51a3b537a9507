package entry_test

import (
	"fmt"
	"os"
	"testing"

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
