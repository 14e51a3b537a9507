package daemon

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadavalve/core/ident"
	"cicadavalve/core/pace"
	"cicadavalve/io/link"
	"cicadavalve/io/relay"
)

// maxSeries bounds the counters per organisation; all further organisations share one.
const maxSeries = 256

// Meter counts the outcomes of requests and serves the metrics in the Prometheus text format.
type Meter struct {
	set *metrics.Set
	// orgs holds the organisations that have counters of their own, at most maxSeries.
	orgs map[ident.OrgID]bool
	mu   chan struct{}
	// refresh, if set, sets metrics to their present values before they are served.
	refresh func(*metrics.Set)
}

// NewMeter returns a meter without metrics.
func NewMeter() *Meter {
	return &Meter{set: metrics.NewSet(), orgs: map[ident.OrgID]bool{}, mu: make(chan struct{}, 1)}
}

// ObserveAnswer implements [relay.Meter].
func (m *Meter) ObserveAnswer(class string, org ident.OrgID, status int, first, whole time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("requests_total{route=%q,status=\"%d\"}", class, status)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("organisation_requests_total{organisation=%q}", m.orgLabel(org))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("first_byte_seconds{route=%q}", class)).Update(first.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf("answer_seconds{route=%q}", class)).Update(whole.Seconds())
}

// orgLabel returns the organisation itself, or "other" once [maxSeries] others have counters.
func (m *Meter) orgLabel(org ident.OrgID) ident.OrgID {
	m.mu <- struct{}{}
	defer func() { <-m.mu }()
	if !m.orgs[org] {
		if len(m.orgs) >= maxSeries {
			return "other"
		}
		m.orgs[org] = true
	}
	return org
}

// CountFailure implements [relay.Meter].
func (m *Meter) CountFailure(ending string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("attempts_failed_total{ending=%q}", ending)).Inc()
}

// CountEnd implements [relay.Meter].
func (m *Meter) CountEnd(framing link.Framing) {
	m.set.GetOrCreateCounter(fmt.Sprintf("answers_total{framing=%q}", framing)).Inc()
}

// CountAbandoned implements [relay.Meter].
func (m *Meter) CountAbandoned(received bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("exchanges_abandoned_total{received=\"%t\"}", received)).Inc()
}

// CountBlocked implements [relay.Meter].
func (m *Meter) CountBlocked(reason relay.BlockReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("requests_blocked_total{reason=%q}", reason)).Inc()
}

// watchEvidence serves the number of requests in quarantine and of those with losses, as count returns them.
func (m *Meter) watchEvidence(count func() (quarantined, suspected int)) {
	m.set.NewGauge("requests_quarantined", func() float64 { quarantined, _ := count(); return float64(quarantined) })
	m.set.NewGauge("requests_with_losses", func() float64 { _, suspected := count(); return float64(suspected) })
}

// watchPace serves the pace of the upstreams, as summary returns it.
func (m *Meter) watchPace(summary func() pace.Summary) {
	m.set.NewGauge("upstreams_stating_slowdown", func() float64 { return float64(summary().Stating) })
	m.set.NewGauge("upstreams_slow", func() float64 { return float64(summary().Slow) })
	m.set.NewGauge("slowdown_persistence_seconds", func() float64 { return summary().Persistence.Seconds() })
}

// watchRecalls serves how many overdue requests were recalled, and how many were not for lack of retries.
func (m *Meter) watchRecalls(counts *recallCounts) {
	for allowed, count := range map[bool]*atomic.Int64{true: &counts.recalled, false: &counts.denied} {
		m.set.NewGauge(fmt.Sprintf("requests_overdue_total{recalled=\"%t\"}", allowed), func() float64 { return float64(count.Load()) })
	}
}

// ServeHTTP implements [http.Handler].
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if m.refresh != nil {
		m.refresh(m.set)
	}
	m.set.WritePrometheus(w)
}
