package share

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

const (
	// reportBytes bounds the organisations in a heartbeat, useBytes is what one takes beside its name.
	reportBytes = 100
	useBytes    = 9
	// largestPart is the part of it for the organisations with the largest use; the others take turns in the rest.
	largestPart = 0.5
	// maxRates bounds the services in a heartbeat.
	maxRates = 4
	// reportInterval is the interval of reports while requests wait or are refused, quietInterval that at other times.
	reportInterval = 500 * time.Millisecond
	quietInterval  = 2 * time.Second
)

// Report returns what is to be sent to the other entries now, nothing if that was done lately: the organisations with the largest use and, in
// turn, some of the others.
func (m *Model) Report(now time.Time) (uses []Use, rates []Rate) {
	interval := quietInterval
	if m.Contended(now) {
		interval = reportInterval
	}
	if now.Sub(m.reportedAt) < interval {
		return nil, nil
	}
	m.reportedAt = now
	m.turn++
	return m.pickUses(m.uses(now)), m.rates(now)
}

// uses lists this entry's figures, the largest use first.
func (m *Model) uses(now time.Time) (uses []Use) {
	for org, a := range m.accounts {
		u := Use{Org: org, Given: time.Duration(max(a.given.value(now, memory), 0)), Unmet: time.Duration(max(a.unmet.value(now, unmetMemory), 0))}
		if u.Given+u.Unmet >= time.Millisecond {
			uses = append(uses, u)
		}
	}
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Given+b.Unmet, a.Given+a.Unmet), cmp.Compare(a.Org, b.Org))
	})
	return uses
}

// pickUses returns as many as fit a report. The rest is in order of names, so that its turns go on while the use changes.
func (m *Model) pickUses(uses []Use) (picked []Use) {
	left := reportBytes
	size := func(u Use) int { return useBytes + len(u.Org) }
	n := 0
	for n < len(uses) && reportBytes-left+size(uses[n]) <= largestPart*reportBytes {
		left -= size(uses[n])
		n++
	}
	picked, rest := uses[:n:n], uses[n:]
	slices.SortFunc(rest, func(a, b Use) int { return cmp.Compare(a.Org, b.Org) })
	for i := range rest {
		u := rest[(i+m.turn*turnStep)%len(rest)]
		if left -= size(u); left < 0 {
			break
		}
		picked = append(picked, u)
	}
	return picked
}

// turnStep is by how many organisations the turns advance with each report: about as many as the rest of a report has room for.
const turnStep = 3

// rates lists the rates of the services at this entry, the highest first.
func (m *Model) rates(now time.Time) (rates []Rate) {
	for name, s := range m.services {
		if rate := s.served.value(now, rateMemory) / rateMemory.Seconds(); rate > 0.01 {
			rates = append(rates, Rate{Service: name, PerSecond: rate})
		}
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Service, b.Service))
	})
	return rates[:min(len(rates), maxRates)]
}

// View describes an organisation.
type View struct {
	Org ident.OrgID
	// Used is the engine time that all entries give it, in engines: seconds a second.
	Used float64
	// Share is what it is entitled to by weighted max-min fairness, in the same unit, infinite while nothing waits.
	Share float64
	// Unmet is the engine time that waits or was refused, in the same unit.
	Unmet float64
}

// Views lists the organisations with use, by name.
func (m *Model) Views(now time.Time) (views []View) {
	m.refresh(now)
	for org, a := range m.accounts {
		d := &a.demand
		views = append(views, View{
			Org: org, Used: d.given / float64(memory), Share: d.weight * m.level / float64(memory), Unmet: (d.required - d.given) / float64(unmetMemory),
		})
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Org, b.Org) })
	return views
}
