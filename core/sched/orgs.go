package sched

import (
	"slices"
	"strings"

	"cicadavalve/core/ident"
	"cicadavalve/core/rules"
)

// OrgView describes one organisation's requests and share on this entry.
type OrgView struct {
	Org ident.OrgID `json:"organisation"`
	// InFlight counts the requests sent to an upstream, Waiting those queued for one.
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
	// Share is the weight by which waiting requests are admitted; ByRule is false if it is the default.
	Share  float64 `json:"share"`
	ByRule bool    `json:"by_rule"`
}

// Orgs lists, sorted by name, the given organisations and those with an unanswered request or a rule that sets
// their share.
func (m *Model) Orgs(extra ...ident.OrgID) []OrgView {
	views := []OrgView{}
	for org, v := range m.orgCounts(extra) {
		v.Org, v.Share = org, defaultOrgWeight
		if m.rules != nil {
			if share, known := m.rules.OrgShare(org); known {
				v.Share, v.ByRule = share, true
			}
		}
		views = append(views, *v)
	}
	slices.SortFunc(views, func(a, b OrgView) int { return strings.Compare(string(a.Org), string(b.Org)) })
	return views
}

// orgCounts returns the views with their request counts; the other fields are unset.
func (m *Model) orgCounts(extra []ident.OrgID) map[ident.OrgID]*OrgView {
	counts := map[ident.OrgID]*OrgView{}
	of := func(org ident.OrgID) *OrgView {
		if counts[org] == nil {
			counts[org] = &OrgView{}
		}
		return counts[org]
	}
	for _, org := range extra {
		of(org)
	}
	for _, r := range m.requests {
		if r.upstream == "" {
			of(r.Org).Waiting++
			continue
		}
		of(r.Org).InFlight++
	}
	if m.rules != nil {
		for _, rule := range m.rules.ByKind(rules.LimitOrganisation) {
			of(ident.OrgID(rule.Subject()))
		}
	}
	return counts
}
