package place

import (
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
)

// maxUse bounds the part of an upstream's capacity that counts as in use: reports of other entries may be late.
const maxUse = 1.25

// Use returns which part of the capacity for which an upstream gets requests is in use by all entries, 1 if it gets no more, and how many
// requests run there. It is the largest part of slots, memory and the time that the backlog of prompts may take.
func (m *Model) Use(now time.Time, service *conf.Service, u *conf.Upstream) (use float64, requests int) {
	m.expirePeers(now)
	total := m.load(u.ID).total(now)
	if u.Slots > 0 {
		use = float64(total.Requests) / float64(u.Slots)
	}
	if service.Engine == nil {
		return min(max(use, 0), maxUse), total.Requests
	}
	if service.Engine.Memory > 0 {
		use = max(use, float64(total.Memory)/(memoryShare*float64(service.Engine.Memory)))
	}
	if objective := m.objectives[u.Service]; objective > 0 {
		prefill := m.serviceStats(u.Service).perToken * float64(total.Backlog)
		if s, known := m.upstreams[u.ID]; known {
			prefill *= max(s.slowdown, 1)
		}
		use = max(use, prefill/(backlogShare*float64(objective)))
	}
	return min(max(use, 0), maxUse), total.Requests
}

// WaitingFor returns the number of queued requests of a service.
func (m *Model) WaitingFor(service ident.ServiceName) (waiting int) {
	for _, w := range m.queue {
		if w.need.Service == service {
			waiting++
		}
	}
	return waiting
}

// ServiceOf returns the service and the objective of a request that is under way, empty if it is not.
func (m *Model) ServiceOf(t Ticket) (service ident.ServiceName, objective time.Duration) {
	if s, ok := m.sent[t]; ok {
		return s.need.Service, s.need.Objective
	}
	return "", 0
}
