package entry

import (
	"context"
	"maps"
	"slices"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/meter"
)

// OrganisationView is the state of one organisation on one entry, as printed by show organisations.
type OrganisationView struct {
	sched.OrgView
	// FirstToken holds the time-to-first-token summary of each class that the organisation has used.
	FirstToken []meter.Summary `json:"first_token"`
}

// organisations joins the scheduler's view of the organisations with their first-token histograms.
func (d *Daemon) organisations(ctx context.Context) (views []OrganisationView, err error) {
	firstTokens := map[ident.OrgID][]meter.Summary{}
	for _, row := range d.latency() {
		if row.Measure == meter.FirstToken {
			firstTokens[row.Organisation] = append(firstTokens[row.Organisation], row)
		}
	}
	known := slices.Collect(maps.Keys(firstTokens))
	orgs, err := inspectValue(ctx, d, func() []sched.OrgView { return d.node.Sched().Orgs(known...) })
	return withFirstToken(orgs, firstTokens), err
}

func withFirstToken(orgs []sched.OrgView, firstTokens map[ident.OrgID][]meter.Summary) []OrganisationView {
	views := []OrganisationView{}
	for _, o := range orgs {
		views = append(views, OrganisationView{o, firstTokens[o.Org]})
	}
	return views
}
