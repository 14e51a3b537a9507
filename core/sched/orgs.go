package sched

import (
	"slices"
	"strings"

	"cicadavalve/core/ident"
	"cicadavalve/core/rules"
)

// OrgView is what one organisation has on this entry now.
type OrgView struct {
	Org ident.OrgID `json:"organisation"`
	// InFlight counts the requests on an upstream, Waiting those that wait for one.
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
	// Share is the weight by which waiting requests are admitted; ByRule is false where it is the default.
	Share  float64 `json:"share"`
	ByRule bool    `json:"by_rule"`
}

// Orgs lists, by name, the given organisations and those that have a request without a final answer
// or a rule about their share.
func (m *Model) Orgs(also ...ident.OrgID) []OrgView {
	views := []OrgView{}
	for org, v := range m.orgCounts(also) {
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

func (m *Model) orgCounts(also []ident.OrgID) map[ident.OrgID]*OrgView {
	counts := map[ident.OrgID]*OrgView{}
	of := func(org ident.OrgID) *OrgView {
		if counts[org] == nil {
			counts[org] = &OrgView{}
		}
		return counts[org]
	}
	for _, org := range also {
		of(org)
	}
	for _, r := range m.requests {
		if r.on == "" {
			of(r.Org).Waiting++
			continue
		}
		of(r.Org).InFlight++
	}
	if m.rules != nil {
		for _, rule := range m.rules.Of(rules.LimitOrganisation) {
			of(ident.OrgID(rule.Subject()))
		}
	}
	return counts
}
