package sched

import (
	"slices"
	"strings"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

// UpstreamView is an entry's view of one upstream and whether it gets new work.
type UpstreamView struct {
	Upstream ident.UpstreamID `json:"upstream"`
	Role     Role             `json:"role"`
	Zone     ident.Zone       `json:"zone"`
	Address  string           `json:"address"`
	Loaded   []Loaded         `json:"loaded"`
	// Services lists the services of an app engine.
	Services    []ident.ServiceName `json:"services,omitempty"`
	Outstanding int                 `json:"outstanding"`
	Running     int                 `json:"running"`
	Waiting     int                 `json:"waiting"`
	// NewWork is true if the upstream may get new work now; otherwise Reason says why not.
	NewWork bool   `json:"new_work"`
	Reason  string `json:"reason,omitempty"`
}

// Reasons that a change of the rules file can remove.
const (
	reasonNoRules = "no configuration is in force"
	reasonDrained = "drained by a rule"
)

// Upstreams lists the upstreams, sorted by id.
func (m *Model) Upstreams(now time.Time) []UpstreamView {
	views := []UpstreamView{}
	for _, id := range m.order {
		u := m.upstreams[id]
		reason := m.noWorkReason(now, u)
		views = append(views, UpstreamView{
			Upstream: id, Role: u.listed.Role, Zone: u.listed.Zone, Address: u.listed.Address, Loaded: u.load.Loaded,
			Services:    u.listed.Services,
			Outstanding: u.candidate.Outstanding, Running: u.load.Running, Waiting: u.load.Waiting,
			NewWork: reason == "", Reason: reason,
		})
	}
	return views
}

// noWorkReason returns why an upstream gets no new work, or "" if it may get some.
func (m *Model) noWorkReason(now time.Time, u *upstream) string {
	switch {
	case m.rules == nil:
		return reasonNoRules
	case u.listed.Leaving:
		return "leaving by the VM list"
	case m.rules.Drained(u.listed.ID, u.listed.Zone):
		return reasonDrained
	case !u.reported:
		return "no load report yet"
	case u.misses >= unreachableMisses:
		return "did not answer the last probes"
	case now.Before(u.suspectUntil):
		return "suspect after a failed attempt"
	}
	return ""
}

// Quarantined reports whether the request with a digest is quarantined for crashing upstreams.
func (m *Model) Quarantined(now time.Time, d poison.Digest) bool {
	return m.poison.Standing(now, d) == poison.Quarantined
}

// RequestView describes a request without a final answer.
type RequestView struct {
	Request  ident.RequestID   `json:"request"`
	CallerID string            `json:"caller_id"`
	Org      ident.OrgID       `json:"organisation"`
	Model    ident.ModelName   `json:"model,omitempty"`
	Service  ident.ServiceName `json:"service,omitempty"`
	Class    ident.Class       `json:"class"`
	Version  ident.Version     `json:"version,omitempty"`
	Upstream ident.UpstreamID  `json:"upstream"`
	Attempt  int               `json:"attempt"`
	AgeMs    int64             `json:"age_ms"`
}

// Requests lists the requests without a final answer, oldest first.
func (m *Model) Requests(now time.Time) []RequestView {
	views := []RequestView{}
	for _, r := range m.requests {
		views = append(views, RequestView{
			Request: r.ID, CallerID: r.CallerID, Org: r.Org, Model: r.Model, Service: r.Service, Class: r.Class,
			Version: r.version, Upstream: r.upstream, Attempt: r.attempt, AgeMs: now.Sub(r.arrivedAt).Milliseconds(),
		})
	}
	slices.SortFunc(views, func(a, b RequestView) int {
		if a.AgeMs != b.AgeMs {
			return int(b.AgeMs - a.AgeMs)
		}
		return strings.Compare(string(a.Request), string(b.Request))
	})
	return views
}
