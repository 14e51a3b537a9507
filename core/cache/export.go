package cache

import (
	"fmt"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

// queued is an export that waits or runs.
type queued struct {
	request *request
	since   time.Time
	// until is when an export that runs has ended at the latest.
	until time.Time
}

// end decides whether the context of an answered request is exported.
func (m *Model) end(now time.Time, msg sched.EndMsg) []ident.Cmd {
	r, known := m.requests[msg.Request]
	if !known || r.attempt != msg.Attempt {
		return nil
	}
	delete(m.requests, r.ID)
	m.memory.change(r.key(), func(p *place) { p.upstream, p.at = r.upstream, now })
	if cause := m.rejects(now, r); cause != "" {
		return []ident.Cmd{DropCmd{Request: r.ID, Cause: cause}}
	}
	m.queue = append(m.queue, queued{request: r, since: now})
	return nil
}

// rejects tells why a context is not exported, or is empty.
func (m *Model) rejects(now time.Time, r *request) Cause {
	if r.blocks() == 0 || r.PromptTokens < m.limits.LeastTokens {
		return CauseSmall
	}
	if m.verdicts.Quarantined(now, r.Digest) {
		return CauseQuarantined
	}
	l := m.pick(r.key())
	switch {
	case l == nil:
		return CauseNoStore
	case m.closed(now, l) != "":
		return CauseStore
	case now.Before(l.fullUntil):
		return CauseFull
	case m.stored(r, l) && m.memory.byKey[r.key()].blocks >= r.blocks(), m.sameQueued(r):
		return CauseStored
	case len(m.queue) >= m.limits.MostQueued:
		return CauseQueueFull
	}
	return ""
}

// sameQueued reports whether an export of the same prompt waits or runs.
func (m *Model) sameQueued(r *request) bool {
	same := func(q queued) bool { return q.request.key() == r.key() && q.request.blocks() >= r.blocks() }
	if slices.ContainsFunc(m.queue, same) {
		return true
	}
	for _, q := range m.exporting {
		if same(q) {
			return true
		}
	}
	return false
}

// startExports starts what the links have room for: at most one export at once over each, and
// none while an import of this entry runs there.
func (m *Model) startExports(now time.Time) (cmds []ident.Cmd) {
	var left []queued
	for _, q := range m.queue {
		l := m.pick(q.request.key())
		switch {
		case l == nil || m.closed(now, l) != "" || now.Sub(q.since) > mostQueueAge:
			cmds = append(cmds, DropCmd{Request: q.request.ID, Cause: CauseLate})
		case l.imports+l.exports > 0 || m.share(l) == 0:
			left = append(left, q)
		default:
			cmds = append(cmds, m.startExport(now, q, l))
		}
	}
	m.queue = left
	return cmds
}

func (m *Model) startExport(now time.Time, q queued, l *link) ExportCmd {
	r := q.request
	m.generations++
	q.until = now.Add(m.limits.ExportDeadline + overdueMargin)
	m.exporting[r.ID] = q
	l.begin(transferID{request: r.ID}, transfer{m.size(r), q.until})
	return ExportCmd{
		Request: r.ID, Org: r.Org, Model: r.Model, Version: r.version, Upstream: r.upstream, Address: r.address,
		Store: l.store, StoreAddress: l.address, Deadline: m.limits.ExportDeadline,
		Generation: fmt.Sprintf("%s-%d", m.incarnation, m.generations),
	}
}

// exported learns from the end of an export.
func (m *Model) exported(now time.Time, msg ExportedMsg) {
	q, known := m.exporting[msg.Request]
	if !known {
		return
	}
	delete(m.exporting, msg.Request)
	m.estimates.moved(msg.Moved, msg.Bytes)
	l, listed := m.links[msg.Store]
	if !listed {
		return
	}
	l.end(transferID{request: msg.Request})
	l.observe(now, msg.Bytes, msg.Took)
	switch msg.Cause {
	case "", CauseStored:
		m.memory.change(q.request.key(), func(p *place) { p.store, p.blocks = msg.Store, msg.Stored })
	case CauseStore, CauseFull:
		l.pause(now, msg.Cause)
	}
}
