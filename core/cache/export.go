package cache

import (
	"fmt"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

// queuedExport is a waiting or running export.
type queuedExport struct {
	request  *request
	queuedAt time.Time
	// deadline is when a running export counts as ended although no end was reported.
	deadline time.Time
}

// finishRequest removes an answered request and decides whether its context is exported.
func (m *Model) finishRequest(now time.Time, msg sched.EndMsg) []ident.Cmd {
	r, known := m.requests[msg.Request]
	if !known || r.attempt != msg.Attempt {
		return nil
	}
	delete(m.requests, r.ID)
	m.contexts.update(r.key(), func(p *contextLocation) { p.upstream, p.heldAt = r.upstream, now })
	if cause := m.exportRefusal(now, r); cause != "" {
		return []ident.Cmd{DropCmd{Request: r.ID, Cause: cause}}
	}
	m.queue = append(m.queue, queuedExport{request: r, queuedAt: now})
	return nil
}

// exportRefusal returns why a context is not exported, or empty if it is.
func (m *Model) exportRefusal(now time.Time, r *request) Cause {
	if r.blocks() == 0 || r.PromptTokens < m.limits.MinTokens {
		return CauseSmall
	}
	if m.verdicts.Quarantined(now, r.Digest) {
		return CauseQuarantined
	}
	l := m.storeFor(r.key())
	switch {
	case l == nil:
		return CauseNoStore
	case m.unavailableReason(now, l) != "":
		return CauseStore
	case now.Before(l.fullUntil):
		return CauseFull
	case m.storeHolds(r, l) && m.contexts.byKey[r.key()].blocks >= r.blocks(), m.exportQueued(r):
		return CauseStored
	case len(m.queue) >= m.limits.MaxQueued:
		return CauseQueueFull
	}
	return ""
}

// exportQueued reports whether an export of the same context with at least as many blocks waits or runs.
func (m *Model) exportQueued(r *request) bool {
	covers := func(q queuedExport) bool { return q.request.key() == r.key() && q.request.blocks() >= r.blocks() }
	if slices.ContainsFunc(m.queue, covers) {
		return true
	}
	for _, q := range m.exporting {
		if covers(q) {
			return true
		}
	}
	return false
}

// startExports starts the queued exports whose link is free: each link runs at most one export of this
// entry at a time, and none while an import of this entry uses it.
func (m *Model) startExports(now time.Time) (cmds []ident.Cmd) {
	var left []queuedExport
	for _, q := range m.queue {
		l := m.storeFor(q.request.key())
		switch {
		case l == nil || m.unavailableReason(now, l) != "" || now.Sub(q.queuedAt) > maxQueueAge:
			cmds = append(cmds, DropCmd{Request: q.request.ID, Cause: CauseLate})
		case l.imports+l.exports > 0 || m.transferShare(l) == 0:
			left = append(left, q)
		default:
			cmds = append(cmds, m.startExport(now, q, l))
		}
	}
	m.queue = left
	return cmds
}

func (m *Model) startExport(now time.Time, q queuedExport, l *link) ExportCmd {
	r := q.request
	m.lastGeneration++
	q.deadline = now.Add(m.limits.ExportDeadline + transferEndMargin)
	m.exporting[r.ID] = q
	l.add(transferID{request: r.ID}, transfer{m.transferBytes(r), q.deadline})
	return ExportCmd{
		Request: r.ID, Org: r.Org, Model: r.Model, Version: r.version, Upstream: r.upstream, Address: r.address,
		Store: l.store, StoreAddress: l.address, Deadline: m.limits.ExportDeadline,
		Generation: fmt.Sprintf("%s-%d", m.incarnation, m.lastGeneration),
	}
}

// finishExport updates the link, the estimates and the stored blocks after an export.
func (m *Model) finishExport(now time.Time, msg ExportedMsg) {
	q, known := m.exporting[msg.Request]
	if !known {
		return
	}
	delete(m.exporting, msg.Request)
	m.estimates.observeBlockBytes(msg.Moved, msg.Bytes)
	l, listed := m.links[msg.Store]
	if !listed {
		return
	}
	l.remove(transferID{request: msg.Request})
	l.observeRate(now, msg.Bytes, msg.Took)
	switch msg.Cause {
	case "", CauseStored:
		m.contexts.update(q.request.key(), func(p *contextLocation) { p.store, p.blocks = msg.Store, msg.Stored })
	case CauseStore, CauseFull:
		l.pause(now, msg.Cause)
	}
}
