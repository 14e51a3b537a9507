package entry

import (
	"context"
	"maps"
	"slices"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/meter"
)

// OrganisationView is what show organisations tells of one organisation on one entry.
type OrganisationView struct {
	sched.OrgView
	// FirstToken holds the first-token times of each class that the organisation has used.
	FirstToken []meter.Summary `json:"first_token"`
}

// organisations joins what the scheduler has in hand with the histograms of what has ended.
func (d *Daemon) organisations(ctx context.Context) (views []OrganisationView, err error) {
	times := map[ident.OrgID][]meter.Summary{}
	for _, row := range d.latency() {
		if row.Measure == meter.FirstToken {
			times[row.Organisation] = append(times[row.Organisation], row)
		}
	}
	known := slices.Collect(maps.Keys(times))
	orgs, err := look(ctx, d, func() []sched.OrgView { return d.node.Sched().Orgs(known...) })
	return withTimes(orgs, times), err
}

func withTimes(orgs []sched.OrgView, times map[ident.OrgID][]meter.Summary) []OrganisationView {
	views := []OrganisationView{}
	for _, o := range orgs {
		views = append(views, OrganisationView{o, times[o.Org]})
	}
	return views
}
