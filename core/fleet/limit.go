package fleet

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
)

const (
	// limitReportInterval is the minimum interval between two [LimitCmd] for changes of the rate of one upstream.
	limitReportInterval = time.Second
	// limitTellInterval is the interval at which an entry repeats a limit to the others, some of which have just
	// started or have missed a message.
	limitTellInterval = time.Second
	// endTells is how often an entry tells the others that a limit has ended.
	endTells = 3
	// heardLimitTTL is how long a limit holds that only other entries have seen, after one of them last told of it.
	heardLimitTTL = 10 * limitTellInterval
)

// LimitMsg is a limit that an answer of an upstream names, or the end of its limit if the answer names none.
type LimitMsg struct {
	ID ident.UpstreamID
	// Born is the incarnation that answered.
	Born  int64
	Limit conf.NamedLimit
	// At is when the answer arrived at an entry. Older answers than the last one are ignored.
	At time.Time
	// Heard is set if the answer arrived at another entry.
	Heard bool
}

// LimitCmd reports that an upstream names a limit, another rate, or that its limit has ended.
type LimitCmd struct {
	ID    ident.UpstreamID
	Limit conf.NamedLimit
	// Age is how long ago the answer arrived that says so.
	Age time.Duration
	// Heard is set if the answer arrived at another entry.
	Heard bool
}

// limitState is the limit that the newest known answer of an upstream named.
type limitState struct {
	conf.NamedLimit
	// at is when that answer arrived, zero before the first.
	at time.Time
	// heard is set if that answer arrived at another entry, which last told of it at heardAt.
	heard   bool
	heardAt time.Time
	// tells is how often the end of a limit is still to be told, toldAt when the entry last told of this upstream.
	tells  int
	toldAt time.Time
	// reported is the limit of the last command, at reportedAt.
	reported   conf.NamedLimit
	reportedAt time.Time
}

// current returns the limit in force.
func (l *limitState) current(now time.Time) conf.NamedLimit {
	if l.heard && now.Sub(l.heardAt) >= heardLimitTTL {
		return conf.NamedLimit{}
	}
	return l.NamedLimit
}

// due reports whether the other entries are to be told of the limit. Only an entry that got the newest answer tells.
func (l *limitState) due(now time.Time) bool {
	return !l.heard && (l.tells > 0 || l.Named) && now.Sub(l.toldAt) >= limitTellInterval
}

// applyLimit applies a limit to the incarnation that named it.
func (m *Model) applyLimit(now time.Time, msg LimitMsg) (cmds []ident.Cmd) {
	s := m.byID[msg.ID]
	if s == nil || s.Born != msg.Born {
		return nil
	}
	l := &s.limit
	if !msg.At.After(l.at) {
		switch {
		case !msg.Heard || !msg.Limit.Named:
		case l.Named:
			l.heardAt = now
		default:
			// The sender has missed the end of the limit.
			l.tells = max(l.tells, 1)
		}
		return nil
	}
	if msg.Limit != l.NamedLimit {
		l.toldAt = time.Time{}
	}
	switch {
	case msg.Limit.Named:
		l.tells = 0
	case l.Named:
		l.tells = endTells
	}
	l.NamedLimit, l.at, l.heard = msg.Limit, msg.At, msg.Heard
	if msg.Heard {
		l.heardAt = now
	}
	if l.reported == l.NamedLimit || l.reported.Named == l.Named && now.Sub(l.reportedAt) < limitReportInterval {
		return nil
	}
	l.reported, l.reportedAt = l.NamedLimit, now
	return []ident.Cmd{LimitCmd{ID: msg.ID, Limit: msg.Limit, Age: now.Sub(msg.At), Heard: msg.Heard}}
}

// Limit returns the limit that an upstream names.
func (m *Model) Limit(now time.Time, id ident.UpstreamID) (limit conf.NamedLimit) {
	if s := m.byID[id]; s != nil {
		limit = s.limit.current(now)
	}
	return limit
}

// TakeLimits returns the limits to tell the other entries now, at most count of them. Those told the longest ago come
// first.
func (m *Model) TakeLimits(now time.Time, count int) (msgs []LimitMsg) {
	var due []*state
	for _, s := range m.byID {
		if s.limit.due(now) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *state) int {
		return cmp.Or(a.limit.toldAt.Compare(b.limit.toldAt), cmp.Compare(a.ID, b.ID))
	})
	for _, s := range due[:min(count, len(due))] {
		s.limit.toldAt, s.limit.tells = now, max(s.limit.tells-1, 0)
		msgs = append(msgs, LimitMsg{ID: s.ID, Born: s.Born, Limit: s.limit.NamedLimit, At: s.limit.at, Heard: true})
	}
	return msgs
}
