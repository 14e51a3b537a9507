package conf

import (
	"maps"
	"time"

	"cicadavalve/core/ident"
)

// Upstream is one incarnation of an engine or an application server, as last listed.
type Upstream struct {
	ID      ident.UpstreamID
	Service ident.ServiceName
	Address string
	Zone    ident.Zone
	// Release is the version of its software.
	Release  string
	Slots    int
	Draining bool
	// ColdLeft is how much longer it was cold when it was listed.
	ColdLeft time.Duration
	// Weights holds the version of each model.
	Weights map[ident.ModelName]int64
	// Born tells incarnations under one id apart and grows from one to the next.
	Born int64
}

// Same tells whether two records of an upstream say the same but for how long it is still cold.
func (u Upstream) Same(v Upstream) bool {
	return maps.Equal(u.Weights, v.Weights) && u.ID == v.ID && u.Service == v.Service && u.Address == v.Address && u.Zone == v.Zone &&
		u.Release == v.Release && u.Slots == v.Slots && u.Draining == v.Draining && u.Born == v.Born
}

// Part is one piece of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Source says where one part of a prompt is fetched from or saved to; an empty address is none.
type Source struct {
	Address string
	Tokens  int
}
