package cache

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

// send decides for a request on the way to an upstream whether its context is imported first.
func (m *Model) send(now time.Time, cmd sched.SendCmd) []ident.Cmd {
	r, known := m.requests[cmd.Request]
	if !known {
		return nil
	}
	r.attempt, r.version, r.upstream, r.address = cmd.Attempt, cmd.Version, cmd.Upstream, cmd.Address
	if r.blocks() == 0 || r.PromptTokens < m.limits.LeastTokens || m.held(now, r) {
		return nil
	}
	l := m.pick(r.key())
	if cause := m.refuses(now, r, l); cause != "" {
		return []ident.Cmd{RecomputeCmd{Request: r.ID, Attempt: r.attempt, Cause: cause}}
	}
	l.begin(transferID{r.ID, r.attempt}, transfer{m.size(r), now.Add(m.limits.ImportDeadline + overdueMargin)})
	return []ident.Cmd{ImportCmd{
		Request: r.ID, Attempt: r.attempt, Org: r.Org, Model: r.Model, Version: r.version,
		Upstream: r.upstream, Address: r.address, Store: l.store, StoreAddress: l.address,
		Deadline: m.limits.ImportDeadline,
	}}
}

// held reports whether the upstream has computed or imported the prompt a moment ago.
func (m *Model) held(now time.Time, r *request) bool {
	p := m.memory.byKey[r.key()]
	return p.upstream == r.upstream && p.upstream != "" && now.Sub(p.at) < m.limits.AssumeHeld
}

// refuses tells why a request's context is rather recomputed, or is empty.
func (m *Model) refuses(now time.Time, r *request, l *link) Cause {
	switch {
	case l == nil:
		return CauseNoStore
	case m.closed(now, l) != "":
		return CauseStore
	case len(l.running) >= m.share(l):
		return CauseBusy
	}
	took := m.transferTime(now, l, m.size(r))
	prefill := m.estimates.prefillTime(r.Model, r.blocks()*BlockTokens)
	if took+m.estimates.lookup >= min(prefill, m.limits.ImportDeadline) {
		return CauseSlow
	}
	gain := float64(prefill - took)
	if !m.stored(r, l) && gain*m.estimates.hits < float64(m.estimates.lookup) {
		return CauseAbsent
	}
	return ""
}

// transferTime is the time until the link has moved its backlog and so many bytes more.
func (m *Model) transferTime(now time.Time, l *link, bytes int64) time.Duration {
	return time.Duration(float64(l.backlog()+bytes) / l.currentRate(now, m.limits.LinkRate) * float64(time.Second))
}

func (m *Model) size(r *request) int64 { return int64(float64(r.blocks()) * m.estimates.blockBytes) }

// stored reports whether this entry knows a store to hold a request's context.
func (m *Model) stored(r *request, l *link) bool {
	p := m.memory.byKey[r.key()]
	return p.blocks > 0 && p.store == l.store
}

// imported learns from the end of an import.
func (m *Model) imported(now time.Time, msg ImportedMsg) {
	l, listed := m.links[msg.Store]
	if !listed {
		return
	}
	t := l.running[transferID{msg.Request, msg.Attempt}]
	if !l.end(transferID{msg.Request, msg.Attempt}) {
		return
	}
	m.estimates.moved(msg.Moved, msg.Bytes)
	l.observe(now, msg.Bytes, msg.Took)
	switch msg.Cause {
	case CauseStore:
		l.pause(now, msg.Cause)
	case CauseTimeout:
		l.slow(now, t.bytes, m.limits.ImportDeadline)
	}
	if r, known := m.requests[msg.Request]; known && r.attempt == msg.Attempt {
		m.learnImport(now, r, l, msg)
	}
}

func (m *Model) learnImport(now time.Time, r *request, l *link, msg ImportedMsg) {
	known := m.stored(r, l)
	if msg.Cause == "" || msg.Cause == CauseAbsent {
		m.estimates.lookedUp(msg.Lookup, !known, msg.Named > 0)
	}
	m.memory.change(r.key(), func(p *place) {
		switch msg.Cause {
		case "":
			p.upstream, p.at, p.store, p.blocks = r.upstream, now, l.store, msg.Named
		case CauseAbsent, CauseGone:
			p.store, p.blocks = "", 0
		}
	})
}
