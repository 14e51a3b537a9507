package sched

import (
	"cicadavalve/core/ident"
	"cicadavalve/core/rules"
)

// Outlook is what a rules file would leave to one model version or service.
type Outlook struct {
	// Model and Version are set for a model, Service for a service; never both.
	Model   ident.ModelName   `json:"model,omitempty"`
	Version ident.Version     `json:"version,omitempty"`
	Service ident.ServiceName `json:"service,omitempty"`
	// Before and After count the upstreams that get new work for it now, and under the file.
	Before int `json:"before"`
	After  int `json:"after"`
	// Requests run or wait on the upstreams counted by Before.
	Requests int `json:"requests"`
	// Short is true where After is 0 or would have more requests each than an entry puts on one upstream.
	Short bool `json:"short"`
}

// Changed reports whether the file gives the model version or service other upstreams than now, or too few.
func (o Outlook) Changed() bool { return o.Before != o.After || o.Short }

// Each is the requests for each upstream under the file, or 0 where there is none.
func (o Outlook) Each() float64 {
	if o.After == 0 {
		return 0
	}
	return float64(o.Requests) / float64(o.After)
}

// Outlooks tells what a rules file would leave to each model and service that it names, in the
// order of its lines. The views are those of one entry, whose load reports lag.
//
//	for _, o := range sched.Outlooks(set, model.Upstreams(now)) {
//		if o.Short {
//			warn(o)
//		}
//	}
func Outlooks(set *rules.Set, views []UpstreamView) (outlooks []Outlook) {
	for _, r := range set.Of(rules.RouteModel) {
		model := ident.ModelName(r.Subject())
		outlooks = append(outlooks, outlook(Outlook{Model: model, Version: set.ServedVersion(model)}, set, views))
	}
	for _, r := range set.Of(rules.RouteService) {
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
	o.Short = o.After == 0 || o.Each() > defaultMostPerUpstream
	return o
}

// usableUnder reports whether an upstream would get new work under other rules.
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
