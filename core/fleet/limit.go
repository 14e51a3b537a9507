package fleet

import (
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
)

// limitReportInterval is the minimum interval between two [LimitCmd] for changes of the rate of one upstream.
const limitReportInterval = time.Second

// LimitMsg is a limit that an answer of an upstream names, or the end of its limit if the answer names none.
type LimitMsg struct {
	ID ident.UpstreamID
	// Born is the incarnation that answered.
	Born  int64
	Limit conf.NamedLimit
	// At is when the answer arrived. Older answers than the last one are ignored.
	At time.Time
}

// LimitCmd reports that an upstream names a limit, another rate, or that its limit has ended.
type LimitCmd struct {
	ID    ident.UpstreamID
	Limit conf.NamedLimit
	// Age is how long ago the answer arrived that says so.
	Age time.Duration
}

// limitState is the limit that the last answer of an upstream named.
type limitState struct {
	conf.NamedLimit
	// at is when that answer arrived, zero before the first.
	at time.Time
	// reported is the limit of the last command, at reportedAt.
	reported   conf.NamedLimit
	reportedAt time.Time
}

// applyLimit applies a limit to the incarnation that named it.
func (m *Model) applyLimit(now time.Time, msg LimitMsg) (cmds []ident.Cmd) {
	s := m.byID[msg.ID]
	if s == nil || s.Born != msg.Born || !msg.At.After(s.limit.at) {
		return nil
	}
	l := &s.limit
	l.NamedLimit, l.at = msg.Limit, msg.At
	if l.reported == l.NamedLimit || l.reported.Named == l.Named && now.Sub(l.reportedAt) < limitReportInterval {
		return nil
	}
	l.reported, l.reportedAt = l.NamedLimit, now
	return []ident.Cmd{LimitCmd{ID: msg.ID, Limit: msg.Limit, Age: now.Sub(msg.At)}}
}

// Limit returns the limit that an upstream names.
func (m *Model) Limit(id ident.UpstreamID) (limit conf.NamedLimit) {
	if s := m.byID[id]; s != nil {
		limit = s.limit.NamedLimit
	}
	return limit
}
