package daemon

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadavalve/core/ident"
	"cicadavalve/core/place"
	"cicadavalve/core/share"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
)

// newShares returns the model that divides engine time between organisations, nil if the settings don't ask for it.
func newShares(s Settings, rng *rand.Rand) *share.Model {
	if !s.Shares {
		return nil
	}
	return share.NewModel(rng)
}

// addUses adds to a heartbeat what organisations used here, if a report is due; the lock is held.
func (d *Controller) addUses(now time.Time, m *gossip.Message) {
	if d.shares == nil {
		return
	}
	uses, rates := d.shares.Report(now)
	for _, u := range uses {
		m.Uses = append(m.Uses, gossip.OrgUse{Org: string(u.Org), GivenMS: int(u.Given.Milliseconds()), UnmetMS: int(u.Unmet.Milliseconds())})
	}
	for _, r := range rates {
		m.Served = append(m.Served, gossip.Served{Service: string(r.Service), PerMinute: int(math.Round(r.PerSecond * time.Minute.Seconds()))})
	}
}

// maxReportedMS bounds what another entry may report in milliseconds, so that it can be converted.
const maxReportedMS = int(24 * time.Hour / time.Millisecond)

// applyUses applies what organisations used at another entry; the lock is held. A heartbeat that a newer one has overtaken is ignored.
func (d *Controller) applyUses(now time.Time, m *gossip.Message) {
	if d.shares == nil || !m.Heartbeat || len(m.Uses)+len(m.Served) == 0 {
		return
	}
	millis := func(n int) time.Duration { return time.Duration(min(max(n, 0), maxReportedMS)) * time.Millisecond }
	msg := share.PeerMsg{Peer: m.ID}
	for _, u := range m.Uses {
		msg.Uses = append(msg.Uses, share.Use{Org: ident.OrgID(u.Org), Given: millis(u.GivenMS), Unmet: millis(u.UnmetMS)})
	}
	for _, s := range m.Served {
		msg.Rates = append(msg.Rates, share.Rate{Service: ident.ServiceName(s.Service), PerSecond: float64(s.PerMinute) / time.Minute.Seconds()})
	}
	d.perform(d.shares.Update(now, msg))
}

// shareViews lists the organisations with their use and shares.
func (d *Controller) shareViews() []share.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shares.Views(clock.Now())
}

// watchShares serves use and share of each organisation, as views returns them. The share is left out while nothing waits.
func (m *Meter) watchShares(views func() []share.View) {
	m.set.RegisterMetricsWriter(func(w io.Writer) {
		for _, v := range views() {
			if label := m.orgLabel(v.Org); label == v.Org {
				metrics.WriteGaugeFloat64(w, fmt.Sprintf("organisation_engine_use{organisation=%q}", label), v.Used)
				metrics.WriteGaugeFloat64(w, fmt.Sprintf("organisation_engine_unmet{organisation=%q}", label), v.Unmet)
				if !math.IsInf(v.Share, 1) {
					metrics.WriteGaugeFloat64(w, fmt.Sprintf("organisation_engine_share{organisation=%q}", label), v.Share)
				}
			}
		}
	})
}

// countRefusal counts a refused request by organisation and reason.
func (m *Meter) countRefusal(cmd place.RefuseCmd) {
	m.set.GetOrCreateCounter(fmt.Sprintf("organisation_refusals_total{organisation=%q,reason=%q}", m.orgLabel(cmd.Org), cmd.Reason)).Inc()
}
