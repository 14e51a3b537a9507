package place

import (
	"time"

	"cicadavalve/core/conf"
)

// The gate keeps engines from filling up with what can wait. An engine reads the prompts of all requests that it
// has admitted by turns, so that a long prompt admitted first holds up urgent ones, whatever their priority; and
// an engine whose memory is full of running requests keeps no context for later ones and reads everything again.
// The load pattern is a burst of long prompts of low urgency among short urgent ones.

const (
	// memoryShare is the part of an engine's memory that running requests of the highest urgency may
	// fill; each step of urgency below may fill memoryStep less.
	memoryShare = 0.9
	memoryStep  = 0.12
	// leastMemoryShare bounds the steps from below.
	leastMemoryShare = 0.45
	// slotShare and slotStep are the same for the slots of an engine.
	slotShare = 1.0
	slotStep  = 0.1
	// pressShare is the part of the shortest objective that prompts of lower urgency may take to read.
	pressShare = 0.5
	// longShare is the part of the shortest objective from which on a prompt counts as long.
	longShare = 0.2
	// mostSteps is how many steps of urgency the gate tells apart.
	mostSteps = 4
)

// step is how far a request stands behind the most urgent ones; those that are late stand behind the others.
func (m *Model) step(now time.Time, need *Need) (step int) {
	step = need.Rank
	if now.Sub(need.Arrived) > need.Objective {
		step++
	}
	return min(max(step, 0), mostSteps)
}

// Bound is what keeps an engine from taking a request.
type Bound int

// The bounds of an engine.
const (
	// Free engines take the request.
	Free Bound = iota
	// Memory would be filled by running requests.
	Memory
	// Slots are taken as far as the request's urgency may take them.
	Slots
	// Backlog would keep urgent requests waiting, or is there while the request is long to read.
	Backlog
	bounds
)

// bound tells what keeps an engine with so much under way from taking the request now.
func (m *Model) bound(need *Need, step int, service *conf.Service, total Load, o *option) Bound {
	if total.Requests == 0 {
		return Free
	}
	size := float64(need.Tokens() + need.Output)
	share := max(memoryShare-memoryStep*float64(step), leastMemoryShare)
	if float64(total.Memory)+size > share*float64(service.Engine.Memory) {
		return Memory
	}
	if float64(total.Requests) >= (slotShare-slotStep*float64(step))*float64(o.upstream.Slots) {
		return Slots
	}
	perToken, shortest := m.speed(need.Service).perToken, float64(m.shortest(need))
	if total.Backlog == 0 || step == 0 && perToken*float64(o.missing) < longShare*shortest {
		return Free
	}
	if perToken*float64(total.Backlog+o.missing) > pressShare*shortest {
		return Backlog
	}
	return Free
}

// shortest is the shortest objective of any route to the request's service.
func (m *Model) shortest(need *Need) time.Duration {
	if d, ok := m.objectives[need.Service]; ok {
		return d
	}
	return need.Objective
}
