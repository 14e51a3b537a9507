package place

import (
	"time"

	"cicadavalve/core/conf"
)

// Admission control keeps capacity free for urgent requests. An engine prefills the prompts of all admitted requests
// in turns, so a long prompt that was admitted first delays urgent ones whatever their priority. An engine whose
// memory is full of running requests also has no room to cache context, and prefills later prompts from the start.
// The limits are meant for bursts of long prompts of low urgency among short urgent ones.

const (
	// memoryShare is the fraction of an engine's memory that running requests may fill for a request of the
	// highest urgency to be admitted. Each step of lower urgency reduces it by memoryStep.
	memoryShare = 0.9
	memoryStep  = 0.12
	// minMemoryShare is the lower bound of the reduced fraction.
	minMemoryShare = 0.45
	// slotShare and slotStep are the corresponding fractions of an engine's slots.
	slotShare = 1.0
	slotStep  = 0.1
	// backlogShare is the fraction of the shortest objective that the prefill backlog may take, the request's own
	// prefill included. Engines without a backlog and short requests of the highest urgency are exempt.
	backlogShare = 0.5
	// longShare is the fraction of the shortest objective from which on a prefill counts as long.
	longShare = 0.2
	// maxStep is the step of the least urgent requests.
	maxStep = 4
)

// urgencyStep returns how many steps a request is below the highest urgency, at most maxStep. A request that has missed
// its objective is one step lower, as is one of an organisation above its share.
func (m *Model) urgencyStep(now time.Time, need *Need) (step int) {
	step = need.Rank
	if now.Sub(need.Arrived) > need.Objective {
		step++
	}
	if m.shares != nil {
		step = m.sharedStep(now, need, step)
	}
	return min(max(step, 0), maxStep)
}

// Bound is the resource that an engine lacks for a request.
type Bound int

// The bounds of an engine.
const (
	// Free engines can take the request.
	Free Bound = iota
	// Memory would exceed the share allowed for running requests.
	Memory
	// Slots are in use up to the share allowed at the request's urgency.
	Slots
	// Backlog would take so long to prefill with the request that urgent requests would be delayed.
	Backlog
	boundCount
)

// bound returns the resource that an engine under the load total lacks for the request, Free if none. An idle engine
// takes any request.
func (m *Model) bound(need *Need, step int, service *conf.Service, total Load, o *option) Bound {
	if total.Requests == 0 {
		return Free
	}
	size := float64(need.Tokens() + need.Output)
	share := max(memoryShare-memoryStep*float64(step), minMemoryShare)
	if float64(total.Memory)+size > share*float64(service.Engine.Memory) {
		return Memory
	}
	if float64(total.Requests) >= (slotShare-slotStep*float64(step))*float64(o.upstream.Slots) {
		return Slots
	}
	perToken, shortest := m.serviceStats(need.Service).perToken, float64(m.shortestObjective(need))
	if total.Backlog == 0 || step == 0 && perToken*float64(o.missing) < longShare*shortest {
		return Free
	}
	if perToken*float64(total.Backlog+o.missing) > backlogShare*shortest {
		return Backlog
	}
	return Free
}

// shortestObjective returns the shortest objective of any route to the request's service, the request's own if no
// route has one.
func (m *Model) shortestObjective(need *Need) time.Duration {
	if d, ok := m.objectives[need.Service]; ok {
		return d
	}
	return need.Objective
}
