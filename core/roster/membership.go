package roster

import (
	"fmt"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// Membership is this entry's own place in the roster: it joins when the entry is fit,
// leaves on a planned stop, renews the lease, and joins anew after a removal.
//
//	m := roster.NewMembership(roster.WithLease(3 * time.Second))
//	cmds := m.Update(now, batch)
type Membership struct {
	roster      *Roster
	watch       *Watch
	snapshotter *snapshotter
	lease       time.Duration
	self        Member
	// boot is the incarnation of the process; the later ones add a number to it.
	boot ident.BootID
	// generation counts the removals of this process.
	generation int
	wanted     bool
	// leaving is when a planned stop began under a lease, or zero.
	leaving time.Time
	// caughtUp is true once a read has reached the end of the log.
	caughtUp bool
	// base is the version of this entry's name when the end was first reached.
	base int64
	// until ends the lease; it is set from the time before a read that reached the log's end.
	until time.Time
	// fresh ends the time in which the last read of the log's end counts, member or not.
	fresh time.Time
	// joined is true once this incarnation has been a member.
	joined     bool
	superseded bool
	// retry is when the next join or leave may be appended.
	retry   time.Time
	backoff time.Duration
	// records numbers the records of this process.
	records int
}

// Option sets one property of a [Membership].
type Option func(*Membership)

// WithLease sets how long a read of the log that reached its end lets the entry act as a member.
func WithLease(d time.Duration) Option { return func(m *Membership) { m.lease = d } }

// WithPingInterval sets how often each watched entry is pinged.
func WithPingInterval(d time.Duration) Option { return func(m *Membership) { m.watch.interval = d } }

// WithSnapshots seeds the times of this entry's snapshots, and bounds the records and the time that
// may come after the newest one; 0 takes the default.
func WithSnapshots(entry ident.EntryID, seed uint64, records int64, interval time.Duration) Option {
	return func(m *Membership) { m.snapshotter = newSnapshotter(entry, seed, records, interval) }
}

const (
	defaultLease     = 3 * time.Second
	firstJoinBackoff = time.Second
	mostJoinBackoff  = 30 * time.Second
)

// NewMembership is an entry that knows neither itself nor others.
func NewMembership(options ...Option) *Membership {
	m := &Membership{roster: NewRoster(), watch: newWatch(), lease: defaultLease, backoff: firstJoinBackoff}
	WithSnapshots("", 0, 0, 0)(m)
	for _, o := range options {
		o(m)
	}
	return m
}

// Roster is the fold of the members.
func (m *Membership) Roster() *Roster { return m.roster }

// Watch is what this entry knows of the reach of others.
func (m *Membership) Watch() *Watch { return m.watch }

// Self is this entry with its current incarnation.
func (m *Membership) Self() Member { return m.self }

// IsMember reports whether the roster, as far as it is folded, holds this incarnation.
func (m *Membership) IsMember() bool {
	current, known := m.roster.Member(m.self.Entry)
	return known && m.self.Entry != "" && current.Incarnation == m.self.Incarnation
}

// Holds reports whether this entry may act as a member now.
func (m *Membership) Holds(now time.Time) bool { return m.IsMember() && now.Before(m.until) }

// CaughtUp reports whether a read has reached the end of the log.
func (m *Membership) CaughtUp() bool { return m.caughtUp }

// Superseded reports whether another process has joined under this entry's name.
func (m *Membership) Superseded() bool { return m.superseded }

// Update takes a message and returns the commands that follow from it.
func (m *Membership) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	m.snapshotter.pace.Start(now)
	cmds = m.take(now, msg)
	return append(cmds, m.snapshot(now)...)
}

func (m *Membership) take(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case ledger.BatchMsg:
		if msg.Stream == ledger.StreamRoster {
			return m.read(now, msg)
		}
	case PeerStatesMsg:
		return m.takePeers(now, msg)
	case SelfMsg:
		m.self, m.boot = msg.Member, msg.Member.Incarnation
	case WantMsg:
		return m.want(now, msg)
	case HeardMsg:
		m.watch.hear(now, msg)
	case PingFailedMsg:
		m.watch.miss(now, m.self.Entry, msg.To)
	case TickMsg:
		return append(m.settle(now), m.look(now)...)
	}
	return nil
}

// Leaving is when a planned stop began, or zero where none did or no lease held at its time.
func (m *Membership) Leaving() time.Time { return m.leaving }

// want begins to join or to leave.
func (m *Membership) want(now time.Time, msg WantMsg) []ident.Cmd {
	m.leaving = time.Time{}
	if !msg.Member && m.Holds(now) {
		m.leaving = now
	}
	m.wanted, m.retry = msg.Member, now
	return m.settle(now)
}

// read folds a batch. The lease runs from before the read began: a record that the read
// does not hold was appended after that time.
func (m *Membership) read(now time.Time, batch ledger.BatchMsg) (cmds []ident.Cmd) {
	next := m.roster.next
	cmds = m.roster.Update(now, batch)
	m.noteRecords(now, batch, next)
	if len(cmds) > 0 {
		m.watch.setMembers(now, m.self.Entry, m.roster.Members())
	}
	cmds = append(cmds, m.meetOwn(now)...)
	if m.roster.Next() >= batch.Next && !batch.Asked.IsZero() {
		m.catchUp()
		m.until = batch.Asked.Add(m.lease)
		m.fresh = m.until
	}
	cmds = append(cmds, m.tellLease())
	cmds = append(cmds, m.askPeers(now)...)
	return append(cmds, m.settle(now)...)
}

// tellLease ends the lease of an incarnation that is no member.
func (m *Membership) tellLease() LeaseCmd {
	if !m.IsMember() {
		m.until = time.Time{}
	}
	return LeaseCmd{Member: m.self, Until: m.until}
}

// noteRecords tells the snapshotter of the records of a batch that were folded from an offset on.
func (m *Membership) noteRecords(now time.Time, batch ledger.BatchMsg, from int64) {
	m.snapshotter.first = max(m.snapshotter.first, batch.First)
	for _, e := range batch.Entries {
		if e.Offset >= from && e.Offset < m.roster.next {
			m.snapshotter.note(now, e, m.caughtUp)
		}
	}
}

func (m *Membership) catchUp() {
	if !m.caughtUp {
		m.caughtUp, m.base = true, m.roster.Version(m.self.Entry)
	}
}

// meetOwn compares the roster's record of this entry's name with this incarnation.
func (m *Membership) meetOwn(now time.Time) []ident.Cmd {
	current, known := m.roster.Member(m.self.Entry)
	switch {
	case m.self.Entry == "" || m.superseded:
		return nil
	case known && current.Incarnation == m.self.Incarnation:
		m.joined = true
		return nil
	case known && m.caughtUp && m.roster.Version(m.self.Entry) > m.base:
		m.superseded = true
		return []ident.Cmd{SupersededCmd{By: current.Incarnation}}
	case !known && m.joined && m.wanted:
		m.renew(now)
	}
	return nil
}

// renew takes a new incarnation after a removal; each removal doubles the wait before the join.
func (m *Membership) renew(now time.Time) {
	m.generation++
	m.self.Incarnation = ident.BootID(fmt.Sprintf("%s/%d", m.boot, m.generation))
	m.joined = false
	m.retry = now.Add(m.backoff)
	m.backoff = min(2*m.backoff, mostJoinBackoff)
}

// settle appends what brings the roster to what is wanted.
func (m *Membership) settle(now time.Time) []ident.Cmd {
	if !m.settles() || now.Before(m.retry) {
		return nil
	}
	m.retry = now.Add(firstJoinBackoff)
	if m.wanted {
		return m.record(KindJoin, JoinBody{m.self, m.roster.Version(m.self.Entry)})
	}
	return m.record(KindLeave, m.self)
}

// settles reports whether the roster is to be brought to what is wanted.
func (m *Membership) settles() bool {
	return m.caughtUp && m.self.Entry != "" && !m.superseded && m.wanted != m.IsMember()
}

func (m *Membership) record(kind ledger.Kind, body any) []ident.Cmd {
	m.records++
	id := fmt.Sprintf("%s/roster/%d", m.boot, m.records)
	rec, err := ledger.NewRecord(id, kind, string(m.self.Entry), body)
	if err != nil {
		return nil
	}
	return []ident.Cmd{AppendCmd{Record: rec}}
}

// look pings the entries that this one watches, and removes one that enough of them accuse.
func (m *Membership) look(now time.Time) (cmds []ident.Cmd) {
	if !m.IsMember() {
		return nil
	}
	cmds = m.watch.pings(now, m.self.Entry)
	if !m.Holds(now) || !m.wanted {
		return cmds
	}
	if lost, found := m.watch.lost(now); found {
		body := RemoveBody{Entry: lost.Entry, Incarnation: lost.Incarnation, Epoch: m.roster.Epoch()}
		cmds = append(cmds, m.record(KindRemove, body)...)
	}
	return cmds
}

// NextTick is when the membership next has something to do without another message, and whether it has.
func (m *Membership) NextTick() (at time.Time, set bool) {
	if m.settles() {
		at, set = m.retry, true
	}
	if m.IsMember() {
		if due := m.watch.due(); !set || due.Before(at) {
			at, set = due, true
		}
	}
	if due := m.snapshotter.pace.Next(); m.maySnapshot(due) && (!set || due.Before(at)) {
		at, set = due, true
	}
	return at, set
}
