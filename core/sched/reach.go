package sched

import (
	"time"

	"cicadavalve/core/ident"
)

// CheckReachCmd asks whether another member reaches an upstream that this entry's probes have missed. Missed probes alone may
// mean that this entry has lost its own link.
type CheckReachCmd struct {
	Upstream ident.UpstreamID `json:"upstream"`
}

// UnreachedMsg reports that no other member reaches an upstream.
type UnreachedMsg struct {
	Upstream ident.UpstreamID `json:"upstream"`
}

// Address returns the address of a listed upstream.
func (m *Model) Address(id ident.UpstreamID) (address string, known bool) {
	u, known := m.upstreams[id]
	if !known {
		return "", false
	}
	return u.listed.Address, true
}

// handleUnreachable counts a missed probe, unless this entry lagged since the probe started.
func (m *Model) handleUnreachable(now time.Time, msg UnreachableMsg) []ident.Cmd {
	u, known := m.upstreams[msg.Upstream]
	if !known || m.lag.laggedSince(now, now.Add(-msg.Waited)) {
		return nil
	}
	u.misses++
	u.restricted = true
	if u.misses < unreachableMisses {
		return nil
	}
	m.slots.SuspectReboot(now, msg.Upstream)
	if !m.poison.AwaitsConfirmation(now, msg.Upstream) {
		return nil
	}
	return []ident.Cmd{CheckReachCmd{msg.Upstream}}
}

// handleUnreached takes the losses of an upstream as confirmed, unless it has answered since the question.
func (m *Model) handleUnreached(now time.Time, msg UnreachedMsg) []ident.Cmd {
	if u, known := m.upstreams[msg.Upstream]; !known || u.misses < unreachableMisses {
		return nil
	}
	return m.poison.Unreachable(now, msg.Upstream)
}
