package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"cicadavalve/core/retry"
)

// TestSequenceDeliversEachEventOnceInOrder passes events of several attempts that are crossed, repeated, late or lost.
func TestSequenceDeliversEachEventOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seq := retry.NewSequence()
		var delivered, want []int
		for attempt := range 4 {
			id := string(rune('a' + attempt))
			if err := seq.Begin(id, "v1"); err != nil {
				t.Fatal(err)
			}
			for range rapid.IntRange(0, 20).Draw(t, "events") {
				from := rapid.SampledFrom([]string{id, id, id, "a", "x"}).Draw(t, "id")
				n := seq.Next() + rapid.IntRange(-2, 1).Draw(t, "offset")
				deliver, err := seq.Accept(from, "v1", n)
				if err != nil {
					break
				}
				if deliver {
					delivered = append(delivered, n)
				}
			}
		}
		for i := range seq.Next() {
			want = append(want, i)
		}
		if diff := cmp.Diff(want, delivered); diff != "" {
			t.Fatalf("delivered events (-want +got):\n%s", diff)
		}
	})
}

func TestSequenceRejectsOtherVersion(t *testing.T) {
	seq := retry.NewSequence()
	errs := []error{seq.Begin("a", "v1"), seq.Begin("b", "v2")}
	_, crossed := seq.Accept("a", "v2", 0)
	_, ended := seq.End("a", "v2", 0)
	errs = append(errs, crossed, ended)
	want := []error{nil, retry.ErrVersion, retry.ErrVersion, retry.ErrVersion}
	if diff := cmp.Diff(want, errs, cmpopts.EquateErrors()); diff != "" {
		t.Errorf("errors (-want +got):\n%s", diff)
	}
}

// TestBudgetBoundsAttempts requests retries at random times within ten seconds and counts those granted.
func TestBudgetBoundsAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.NewBudgets(retry.WithRate(2, 5))
		now := time.Unix(0, 0)
		granted := 0
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * time.Millisecond)
			if b.Withdraw(now, "one") {
				granted++
			}
		}
		limit := 5 + int(2*now.Sub(time.Unix(0, 0)).Seconds())
		if granted > limit {
			t.Fatalf("%d attempts granted, budget allows %d", granted, limit)
		}
		if !b.Withdraw(now, "two") {
			t.Fatal("one organisation used another's budget")
		}
	})
}

func TestBackoffGrowsAndResets(t *testing.T) {
	b := retry.NewBudgets()
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	for i := range 10 {
		full := min(500*time.Millisecond<<min(i, 6), 30*time.Second)
		if got := b.Backoff(now, "one", rng); got < full/2 || got > full {
			t.Errorf("failure %d: backoff %v, want within %v and %v", i, got, full/2, full)
		}
	}
	b.RecordSuccess("one")
	if got := b.Backoff(now, "one", rng); got > 500*time.Millisecond {
		t.Errorf("backoff after a complete answer: %v", got)
	}
}
