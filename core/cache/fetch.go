package cache

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

// decideImport decides whether the context of a request is imported before it is sent to its upstream.
func (m *Model) decideImport(now time.Time, cmd sched.SendCmd) []ident.Cmd {
	r, known := m.requests[cmd.Request]
	if !known {
		return nil
	}
	r.attempt, r.version, r.upstream, r.address = cmd.Attempt, cmd.Version, cmd.Upstream, cmd.Address
	if r.blocks() == 0 || r.PromptTokens < m.limits.MinTokens || m.upstreamHolds(now, r) {
		return nil
	}
	l := m.storeFor(r.key())
	if cause := m.importRefusal(now, r, l); cause != "" {
		return []ident.Cmd{RecomputeCmd{Request: r.ID, Attempt: r.attempt, Cause: cause}}
	}
	l.add(transferID{r.ID, r.attempt}, transfer{m.transferBytes(r), now.Add(m.limits.ImportDeadline + transferEndMargin)})
	return []ident.Cmd{ImportCmd{
		Request: r.ID, Attempt: r.attempt, Org: r.Org, Model: r.Model, Version: r.version,
		Upstream: r.upstream, Address: r.address, Store: l.store, StoreAddress: l.address,
		Deadline: m.limits.ImportDeadline,
	}}
}

// upstreamHolds reports whether the upstream computed or imported the prompt less than [Limits.HeldTTL] ago.
func (m *Model) upstreamHolds(now time.Time, r *request) bool {
	p := m.contexts.byKey[r.key()]
	return p.upstream == r.upstream && p.upstream != "" && now.Sub(p.heldAt) < m.limits.HeldTTL
}

// importRefusal returns why a request's context is recomputed, or empty if it is imported.
func (m *Model) importRefusal(now time.Time, r *request, l *link) Cause {
	switch {
	case l == nil:
		return CauseNoStore
	case m.unavailableReason(now, l) != "":
		return CauseStore
	case len(l.running) >= m.transferShare(l):
		return CauseBusy
	}
	transfer := m.transferDuration(now, l, m.transferBytes(r))
	prefill := m.estimates.prefillDuration(r.Model, r.blocks()*BlockTokens)
	if transfer+m.estimates.lookupDuration >= min(prefill, m.limits.ImportDeadline) {
		return CauseSlow
	}
	gain := float64(prefill - transfer)
	if !m.storeHolds(r, l) && gain*m.estimates.hitRate < float64(m.estimates.lookupDuration) {
		return CauseAbsent
	}
	return ""
}

// transferDuration returns the expected time until the link has moved its backlog and the given bytes.
func (m *Model) transferDuration(now time.Time, l *link, bytes int64) time.Duration {
	return time.Duration(float64(l.backlogBytes()+bytes) / l.currentRate(now, m.limits.LinkRate) * float64(time.Second))
}

func (m *Model) transferBytes(r *request) int64 {
	return int64(float64(r.blocks()) * m.estimates.blockBytes)
}

// storeHolds reports whether the link's store is known to hold blocks of the request's context.
func (m *Model) storeHolds(r *request, l *link) bool {
	p := m.contexts.byKey[r.key()]
	return p.blocks > 0 && p.store == l.store
}

// finishImport updates the link and the estimates after an import.
func (m *Model) finishImport(now time.Time, msg ImportedMsg) {
	l, listed := m.links[msg.Store]
	if !listed {
		return
	}
	t := l.running[transferID{msg.Request, msg.Attempt}]
	if !l.remove(transferID{msg.Request, msg.Attempt}) {
		return
	}
	m.estimates.observeBlockBytes(msg.Moved, msg.Bytes)
	l.observeRate(now, msg.Bytes, msg.Took)
	switch msg.Cause {
	case CauseStore:
		l.pause(now, msg.Cause)
	case CauseTimeout:
		l.observeTimeout(now, t.bytes, m.limits.ImportDeadline)
	}
	if r, known := m.requests[msg.Request]; known && r.attempt == msg.Attempt {
		m.recordImport(now, r, l, msg)
	}
}

func (m *Model) recordImport(now time.Time, r *request, l *link, msg ImportedMsg) {
	storeKnown := m.storeHolds(r, l)
	if msg.Cause == "" || msg.Cause == CauseAbsent {
		m.estimates.observeLookup(msg.Lookup, !storeKnown, msg.Named > 0)
	}
	m.contexts.update(r.key(), func(p *contextLocation) {
		switch msg.Cause {
		case "":
			p.upstream, p.heldAt, p.store, p.blocks = r.upstream, now, l.store, msg.Named
		case CauseAbsent, CauseGone:
			p.store, p.blocks = "", 0
		}
	})
}
