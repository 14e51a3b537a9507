package roster

import (
	"fmt"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// Membership manages this entry's own membership: it joins when the entry is ready, leaves on a
// planned stop, renews the lease, and rejoins under a new incarnation after a removal.
//
//	m := roster.NewMembership(roster.WithLease(3 * time.Second))
//	cmds := m.Update(now, batch)
type Membership struct {
	roster      *Roster
	watch       *Watch
	snapshotter *snapshotter
	lease       time.Duration
	self        Member
	// boot is the first incarnation of the process; later ones append a number to it.
	boot ident.BootID
	// generation counts how often this process took a new incarnation after a removal.
	generation int
	wantMember bool
	// leavingSince is when a planned stop began while the lease was held, or zero.
	leavingSince time.Time
	// caughtUp is true once a read has reached the end of the log.
	caughtUp bool
	// initialVersion is the version of this entry's name when a read first reached the log's end.
	initialVersion int64
	// leaseUntil is when the lease expires, counted from the start of the last read that reached the log's end.
	leaseUntil time.Time
	// freshUntil is when that read becomes stale; unlike leaseUntil it is kept by an entry that is no member.
	freshUntil time.Time
	// joined is true once this incarnation has been a member.
	joined     bool
	superseded bool
	// nextAttempt is when the next join or leave may be appended.
	nextAttempt time.Time
	backoff     time.Duration
	// recordCount counts the records appended by this process; their ids carry the number.
	recordCount int
}

// Option sets one property of a [Membership].
type Option func(*Membership)

// WithLease sets how long the entry may act as a member after the start of a read that reached the log's end.
func WithLease(d time.Duration) Option { return func(m *Membership) { m.lease = d } }

// WithPingInterval sets how often each watched entry is pinged.
func WithPingInterval(d time.Duration) Option { return func(m *Membership) { m.watch.interval = d } }

// WithSnapshots seeds the timing of this entry's snapshots, and limits the number of records and the time
// since the newest one; 0 selects the default.
func WithSnapshots(entry ident.EntryID, seed uint64, records int64, interval time.Duration) Option {
	return func(m *Membership) { m.snapshotter = newSnapshotter(entry, seed, records, interval) }
}

const (
	defaultLease       = 3 * time.Second
	initialJoinBackoff = time.Second
	maxJoinBackoff     = 30 * time.Second
)

// NewMembership returns a membership with an empty roster; [SelfMsg] sets the entry it is for.
func NewMembership(options ...Option) *Membership {
	m := &Membership{roster: NewRoster(), watch: newWatch(), lease: defaultLease, backoff: initialJoinBackoff}
	WithSnapshots("", 0, 0, 0)(m)
	for _, o := range options {
		o(m)
	}
	return m
}

// Roster returns the fold of the roster stream.
func (m *Membership) Roster() *Roster { return m.roster }

// Watch returns the failure detector for the other entries.
func (m *Membership) Watch() *Watch { return m.watch }

// Self returns this entry with its current incarnation.
func (m *Membership) Self() Member { return m.self }

// IsMember reports whether the roster, as folded so far, contains this incarnation.
func (m *Membership) IsMember() bool {
	current, known := m.roster.Member(m.self.Entry)
	return known && m.self.Entry != "" && current.Incarnation == m.self.Incarnation
}

// Holds reports whether this entry is a member and its lease is valid at now.
func (m *Membership) Holds(now time.Time) bool { return m.IsMember() && now.Before(m.leaseUntil) }

// CaughtUp reports whether a read has reached the end of the log.
func (m *Membership) CaughtUp() bool { return m.caughtUp }

// Superseded reports whether another process has joined under this entry's name.
func (m *Membership) Superseded() bool { return m.superseded }

// Update handles a message and returns the resulting commands.
func (m *Membership) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	m.snapshotter.schedule.Start(now)
	cmds = m.handle(now, msg)
	return append(cmds, m.appendSnapshot(now)...)
}

func (m *Membership) handle(now time.Time, msg ident.Msg) []ident.Cmd {
	switch msg := msg.(type) {
	case ledger.BatchMsg:
		if msg.Stream == ledger.StreamRoster {
			return m.foldBatch(now, msg)
		}
	case PeerStatesMsg:
		return m.restoreFromPeers(now, msg)
	case SelfMsg:
		m.self, m.boot = msg.Member, msg.Member.Incarnation
	case WantMsg:
		return m.setWanted(now, msg)
	case HeardMsg:
		m.watch.handleHeard(now, msg)
	case PingFailedMsg:
		m.watch.recordMiss(now, m.self.Entry, msg.To)
	case TickMsg:
		return append(m.reconcile(now), m.checkPeers(now)...)
	}
	return nil
}

// Leaving returns when a planned stop began, or zero if there is none or the lease was not held then.
func (m *Membership) Leaving() time.Time { return m.leavingSince }

// setWanted starts a join or a leave.
func (m *Membership) setWanted(now time.Time, msg WantMsg) []ident.Cmd {
	m.leavingSince = time.Time{}
	if !msg.Member && m.Holds(now) {
		m.leavingSince = now
	}
	m.wantMember, m.nextAttempt = msg.Member, now
	return m.reconcile(now)
}

// foldBatch folds a batch. The lease runs from the start of the read, since any record
// missing from the batch was appended after that time.
func (m *Membership) foldBatch(now time.Time, batch ledger.BatchMsg) (cmds []ident.Cmd) {
	next := m.roster.next
	cmds = m.roster.Update(now, batch)
	m.observeRecords(now, batch, next)
	if len(cmds) > 0 {
		m.watch.setMembers(now, m.self.Entry, m.roster.Members())
	}
	cmds = append(cmds, m.checkOwnRecord(now)...)
	if m.roster.Next() >= batch.Next && !batch.ReadStart.IsZero() {
		m.markCaughtUp()
		m.leaseUntil = batch.ReadStart.Add(m.lease)
		m.freshUntil = m.leaseUntil
	}
	cmds = append(cmds, m.updateLease())
	cmds = append(cmds, m.requestPeerStates(now)...)
	return append(cmds, m.reconcile(now)...)
}

// updateLease returns the current lease, which it ends first if this incarnation is no member.
func (m *Membership) updateLease() LeaseCmd {
	if !m.IsMember() {
		m.leaseUntil = time.Time{}
	}
	return LeaseCmd{Member: m.self, Until: m.leaseUntil}
}

// observeRecords passes the folded records of a batch, from offset start on, to the snapshotter.
func (m *Membership) observeRecords(now time.Time, batch ledger.BatchMsg, start int64) {
	m.snapshotter.logStart = max(m.snapshotter.logStart, batch.First)
	for _, e := range batch.Entries {
		if e.Offset >= start && e.Offset < m.roster.next {
			m.snapshotter.observe(now, e, m.caughtUp)
		}
	}
}

func (m *Membership) markCaughtUp() {
	if !m.caughtUp {
		m.caughtUp, m.initialVersion = true, m.roster.Version(m.self.Entry)
	}
}

// checkOwnRecord compares the roster's member of this entry's name with this incarnation, and detects
// a removal or another process that joined under the name.
func (m *Membership) checkOwnRecord(now time.Time) []ident.Cmd {
	current, known := m.roster.Member(m.self.Entry)
	switch {
	case m.self.Entry == "" || m.superseded:
		return nil
	case known && current.Incarnation == m.self.Incarnation:
		m.joined = true
		return nil
	case known && m.caughtUp && m.roster.Version(m.self.Entry) > m.initialVersion:
		m.superseded = true
		return []ident.Cmd{SupersededCmd{By: current.Incarnation}}
	case !known && m.joined && m.wantMember:
		m.renewIncarnation(now)
	}
	return nil
}

// renewIncarnation takes a new incarnation after a removal; each removal doubles the delay before the next join.
func (m *Membership) renewIncarnation(now time.Time) {
	m.generation++
	m.self.Incarnation = ident.BootID(fmt.Sprintf("%s/%d", m.boot, m.generation))
	m.joined = false
	m.nextAttempt = now.Add(m.backoff)
	m.backoff = min(2*m.backoff, maxJoinBackoff)
}

// reconcile appends a join or leave record if the roster differs from the wanted state.
func (m *Membership) reconcile(now time.Time) []ident.Cmd {
	if !m.needsReconcile() || now.Before(m.nextAttempt) {
		return nil
	}
	m.nextAttempt = now.Add(initialJoinBackoff)
	if m.wantMember {
		return m.appendRecord(KindJoin, JoinBody{m.self, m.roster.Version(m.self.Entry)})
	}
	return m.appendRecord(KindLeave, m.self)
}

// needsReconcile reports whether this entry's membership differs from the wanted state and may be changed.
func (m *Membership) needsReconcile() bool {
	return m.caughtUp && m.self.Entry != "" && !m.superseded && m.wantMember != m.IsMember()
}

func (m *Membership) appendRecord(kind ledger.Kind, body any) []ident.Cmd {
	m.recordCount++
	id := fmt.Sprintf("%s/roster/%d", m.boot, m.recordCount)
	rec, err := ledger.NewRecord(id, kind, string(m.self.Entry), body)
	if err != nil {
		return nil
	}
	return []ident.Cmd{AppendCmd{Record: rec}}
}

// checkPeers pings the entries that this one watches, and appends the removal of one that enough entries accuse.
func (m *Membership) checkPeers(now time.Time) (cmds []ident.Cmd) {
	if !m.IsMember() {
		return nil
	}
	cmds = m.watch.issuePings(now, m.self.Entry)
	if !m.Holds(now) || !m.wantMember {
		return cmds
	}
	if lost, found := m.watch.takeLost(now); found {
		body := RemoveBody{Entry: lost.Entry, Incarnation: lost.Incarnation, Epoch: m.roster.Epoch()}
		cmds = append(cmds, m.appendRecord(KindRemove, body)...)
	}
	return cmds
}

// NextTick returns when the membership next has to act without another message; set is false if it need not.
func (m *Membership) NextTick() (at time.Time, set bool) {
	if m.needsReconcile() {
		at, set = m.nextAttempt, true
	}
	if m.IsMember() {
		if due := m.watch.nextDue(); !set || due.Before(at) {
			at, set = due, true
		}
	}
	if due := m.snapshotter.schedule.Next(); m.maySnapshot(due) && (!set || due.Before(at)) {
		at, set = due, true
	}
	return at, set
}
