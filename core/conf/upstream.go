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
	// Release is the software version.
	Release  string
	Slots    int
	Draining bool
	// ColdLeft is how much longer it stays cold, as of the listing.
	ColdLeft time.Duration
	// Weights holds the version of each model's weights.
	Weights map[ident.ModelName]int64
	// Born identifies the incarnation under an ID and increases from one to the next.
	Born int64
}

// EqualExceptCold reports whether two records are equal except for ColdLeft.
func (u Upstream) EqualExceptCold(v Upstream) bool {
	return maps.Equal(u.Weights, v.Weights) && u.ID == v.ID && u.Service == v.Service && u.Address == v.Address && u.Zone == v.Zone &&
		u.Release == v.Release && u.Slots == v.Slots && u.Draining == v.Draining && u.Born == v.Born
}

// NamedLimit is the rate of requests that an upstream takes from all entries together, as it names it in its answers.
type NamedLimit struct {
	// Named reports that there is a limit.
	Named bool
	// PerSecond is at least 0, and 0 without a limit.
	PerSecond float64
}

// Part is a section of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Source is the address from which a part of a prompt is fetched or to which it is saved, empty for none.
type Source struct {
	Address string
	Tokens  int
}
