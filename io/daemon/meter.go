package daemon

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadavalve/core/ident"
)

// mostSeries bounds the counters for each organisation; those beyond share one.
const mostSeries = 256

// Meter counts what becomes of requests and serves the figures as text.
type Meter struct {
	set *metrics.Set
	// orgs holds the organisations that have counters of their own, at most mostSeries.
	orgs map[ident.OrgID]bool
	mu   chan struct{}
}

// NewMeter counts nothing yet.
func NewMeter() *Meter {
	return &Meter{set: metrics.NewSet(), orgs: map[ident.OrgID]bool{}, mu: make(chan struct{}, 1)}
}

// Answered implements [relay.Meter].
func (m *Meter) Answered(class string, org ident.OrgID, status int, first, whole time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("requests_total{route=%q,status=\"%d\"}", class, status)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("organisation_requests_total{organisation=%q}", m.bounded(org))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("first_byte_seconds{route=%q}", class)).Update(first.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf("answer_seconds{route=%q}", class)).Update(whole.Seconds())
}

func (m *Meter) bounded(org ident.OrgID) ident.OrgID {
	m.mu <- struct{}{}
	defer func() { <-m.mu }()
	if !m.orgs[org] {
		if len(m.orgs) >= mostSeries {
			return "other"
		}
		m.orgs[org] = true
	}
	return org
}

// Attempted implements [relay.Meter].
func (m *Meter) Attempted(ending string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("attempts_failed_total{ending=%q}", ending)).Inc()
}

// ServeHTTP implements [http.Handler].
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
}
