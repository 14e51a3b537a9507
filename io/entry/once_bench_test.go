package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cicadavalve/io/bench"
	"cicadavalve/io/config"
	"cicadavalve/io/fakes"
)

// BenchmarkBookings measures once-only calls from 256 callers to one entry. The log accepts 300 appends per second, of
// one record each or of batches.
func BenchmarkBookings(b *testing.B) {
	for _, maxBatch := range []int{1, 256} {
		b.Run(fmt.Sprintf("batch=%d", maxBatch), func(b *testing.B) { runBookings(b, maxBatch) })
	}
}

const (
	bookingCallers  = 256
	bookingDuration = 6 * time.Second
)

func runBookings(b *testing.B, maxBatch int) {
	c, err := bench.Start(bench.WithRules(testRules), bench.WithLog(fakes.LogSettings{AppendsPerSecond: 300, Seed: 1}),
		bench.WithSettings(func(s *config.Settings) { s.AppendBatch = maxBatch }))
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	if _, err := c.AddApp("dunedin", "booking"); err != nil {
		b.Fatal(err)
	}
	e, err := c.AddEntry("dunedin")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	ready := bench.Wait(ctx, func() bool {
		a, err := bench.Call(ctx, e, bench.Token, "/v1/call/booking/x", fmt.Sprintf("ready-%d", time.Now().UnixNano()), "{}")
		return err == nil && a.Status == http.StatusOK
	})
	if !ready {
		b.Fatal("the entry did not answer a call")
	}
	before := logStats(b, c)
	booked, refused := offerBookings(ctx, e)
	appends := float64(logStats(b, c).Appends - before.Appends)
	b.ReportMetric(float64(booked)/bookingDuration.Seconds(), "bookings/s")
	b.ReportMetric(appends/float64(max(booked, 1)), "appends/booking")
	b.ReportMetric(float64(refused)/bookingDuration.Seconds(), "refusals/s")
}

// offerBookings sends calls for bookingDuration, and returns the number that got a result and the number that did not.
func offerBookings(ctx context.Context, e *bench.Entry) (booked, refused int64) {
	var total, succeeded atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(bookingDuration)
	for n := range bookingCallers {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				a, err := bench.Call(ctx, e, bench.Token, "/v1/call/booking/x", fmt.Sprintf("key-%d-%d", n, i), "{}")
				total.Add(1)
				if err == nil && a.Status == http.StatusOK {
					succeeded.Add(1)
				}
			}
		})
	}
	callers.Wait()
	return succeeded.Load(), total.Load() - succeeded.Load()
}

func logStats(b *testing.B, c *bench.Cluster) (s fakes.LogStats) {
	resp, err := http.Get(c.LogURL() + "/stats")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		b.Fatal(err)
	}
	return s
}
