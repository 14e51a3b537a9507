package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
	"cicadavalve/core/sched"
)

// TestLossCountsAfterTheReportOfTheNextBoot crashes an upstream under each attempt of a request, and has the report of the upstream's next boot
// arrive before the attempt breaks off, or after it. Recorded under the next boot, a loss was never confirmed, and the
// request stayed suspect, neither quarantined nor released by a rule.
func TestLossCountsAfterTheReportOfTheNextBoot(t *testing.T) {
	type result struct {
		Standing []string
		Crashes  int
	}
	got := map[bool]result{}
	for _, reportFirst := range []bool{false, true} {
		m := newModel(6, sched.WithRetryBudget(100, 100))
		now, r := start, result{}
		for i := 0; i < 3; i++ {
			arrive := arrival(fmt.Sprint("r", i), "one")
			arrive.Request.Digest = "poison"
			cmds := m.Update(now, arrive)
			for range 40 {
				now = now.Add(50 * time.Millisecond)
				if send, ok := sendOf(cmds); ok {
					r.Crashes++
					next := loadOf(send.Upstream, ident.BootID(fmt.Sprint("boot-", now.UnixMilli())))
					fail := sched.FailMsg{Request: send.Request, Attempt: send.Attempt, Cause: sched.CauseBroken}
					if reportFirst {
						m.Update(now, next)
						cmds = m.Update(now, fail)
					} else {
						cmds = m.Update(now, fail)
						m.Update(now, next)
					}
					continue
				}
				cmds = m.Update(now, sched.TickMsg{})
			}
		}
		for _, v := range m.Suspects(now) {
			r.Standing = append(r.Standing, v.Standing)
		}
		got[reportFirst] = r
	}
	want := result{[]string{"quarantined"}, poison.MaxLosses}
	if diff := cmp.Diff(map[bool]result{false: want, true: want}, got); diff != "" {
		t.Errorf("after three sendings, by whether the report came first (-want +got):\n%s", diff)
	}
}

// sendOf returns the first command to send an attempt.
func sendOf(cmds []ident.Cmd) (send sched.SendCmd, ok bool) {
	for _, cmd := range cmds {
		if send, ok = cmd.(sched.SendCmd); ok {
			return send, true
		}
	}
	return send, false
}
