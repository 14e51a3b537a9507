package sched

import (
	"cicadavalve/core/ident"
	"cicadavalve/core/rules"
)

// Outlook is the capacity that a rules file would leave for one model version or service.
type Outlook struct {
	// Model and Version are set for a model, Service for a service; never both.
	Model   ident.ModelName   `json:"model,omitempty"`
	Version ident.Version     `json:"version,omitempty"`
	Service ident.ServiceName `json:"service,omitempty"`
	// Before counts the upstreams that accept new work for it now, After those that would under the file.
	Before int `json:"before"`
	After  int `json:"after"`
	// Requests counts those running or queued on the upstreams of Before.
	Requests int `json:"requests"`
	// Short is true if After is 0 or the requests per upstream would exceed the default limit.
	Short bool `json:"short"`
}

// Changed reports whether the file changes the number of upstreams or leaves too few.
func (o Outlook) Changed() bool { return o.Before != o.After || o.Short }

// RequestsPerUpstream returns the requests per upstream under the file, or 0 if no upstream is left.
func (o Outlook) RequestsPerUpstream() float64 {
	if o.After == 0 {
		return 0
	}
	return float64(o.Requests) / float64(o.After)
}

// Outlooks returns the outlook of each model, then of each service, that a rules file routes, in file order.
// The views are those of one entry, whose load reports lag.
//
//	for _, o := range sched.Outlooks(set, model.Upstreams(now)) {
//		if o.Short {
//			warn(o)
//		}
//	}
func Outlooks(set *rules.Set, views []UpstreamView) (outlooks []Outlook) {
	for _, r := range set.ByKind(rules.RouteModel) {
		model := ident.ModelName(r.Subject())
		outlooks = append(outlooks, outlook(Outlook{Model: model, Version: set.ServedVersion(model)}, set, views))
	}
	for _, r := range set.ByKind(rules.RouteService) {
		outlooks = append(outlooks, outlook(Outlook{Service: ident.ServiceName(r.Subject())}, set, views))
	}
	return outlooks
}

func outlook(o Outlook, set *rules.Set, views []UpstreamView) Outlook {
	for _, v := range views {
		if !o.servedBy(v) {
			continue
		}
		if v.NewWork {
			o.Before++
			o.Requests += v.Running + v.Waiting
		}
		if v.usableUnder(set) {
			o.After++
		}
	}
	o.Short = o.After == 0 || o.RequestsPerUpstream() > defaultMaxPerUpstream
	return o
}

// usableUnder reports whether an upstream would accept new work under other rules.
func (v UpstreamView) usableUnder(set *rules.Set) bool {
	usable := v.NewWork || v.Reason == reasonDrained || v.Reason == reasonNoRules
	return usable && !set.Drained(v.Upstream, v.Zone)
}

func (o Outlook) servedBy(v UpstreamView) bool {
	for _, l := range v.Loaded {
		if l.Model == o.Model && l.Version == o.Version {
			return true
		}
	}
	for _, s := range v.Services {
		if s == o.Service {
			return true
		}
	}
	return false
}
