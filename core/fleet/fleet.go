// Package fleet tracks the upstreams that the platform lists and their condition as observed by requests.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
)

const (
	// reregisterTimeout is how long an upstream whose record lapsed during an outage of the list may take to register
	// again. It is derived from the two seconds that the platform specifies.
	reregisterTimeout = 1800 * time.Millisecond
	// minPause and maxPause bound how long an upstream that breaks connections gets no work. The minimum is about one
	// interval of the list, the maximum about a restart of an engine.
	minPause = 400 * time.Millisecond
	maxPause = 4 * time.Second
	// maxClockError is how far the clocks of upstreams may be ahead of this entry's.
	maxClockError = time.Hour
	// unreadableTimeout is how long an upstream may take to register again after a record under its ID that can't be read: some
	// heartbeats.
	unreadableTimeout = 10 * time.Second
	// supersedeAfter is how long an older incarnation must write records beside a silent listed one to be the present one: longer than a
	// write is late, and some heartbeats.
	supersedeAfter = 3 * time.Second
	// assumedCold is how long an upstream counts as cold after repeated failures, unless a newer record differs.
	assumedCold = 3 * time.Second
)

// state is the record of an upstream and its observed condition.
type state struct {
	conf.Upstream
	coldUntil time.Time
	// assumedColdUntil is like coldUntil, by the failures of this entry alone.
	assumedColdUntil time.Time
	// pausedUntil is until when it gets no work after a failure.
	pausedUntil time.Time
	// failures counts the pauses since the last answered exchange.
	failures int
	// lapsedAt is when its record was removed during an outage of the list, zero while it is listed.
	lapsedAt time.Time
	// unreadableAt is when a record under its ID could not be read, zero since the last one that could.
	unreadableAt time.Time
	// olderBorn is an older incarnation that has written records since olderAt, when the listed one had last; zero if none has.
	olderBorn int64
	olderAt   time.Time
	// orderedUntil is until when it carries out an order, rejectingUntil until when it is taken to reject further requests.
	orderedUntil, rejectingUntil time.Time
	// backoffUntil is until when it asks this entry to back off. It never decreases.
	backoffUntil time.Time
	// leavingTells is how often the other entries are still to be told that it leaves, leavingToldAt when they last were.
	leavingTells  int
	leavingToldAt time.Time
	// rejection is what its newest answer said of rejections.
	rejection rejectionLimit
	// reported holds the newest versions of weights that this incarnation itself reported.
	reported map[ident.ModelName]int64
	// isolated is set while only this entry can't reach it.
	isolated bool
	limit    limitState
}

// Model holds the state of all upstreams. Its methods aren't safe for concurrent use.
type Model struct {
	byID map[ident.UpstreamID]*state
	// byService lists the upstreams of each service. It is nil after a change of the list, and rebuilt by Each.
	byService map[ident.ServiceName][]*state
	// avoided holds the availability zones that get no work.
	avoided map[ident.Zone]bool
	// departed holds the last incarnation of each upstream that was removed after draining.
	departed map[ident.UpstreamID]int64
	// telling is set while there may be upstreams whose leaving is to be told.
	telling bool
	// backoffsUntil is until when any upstream may ask this entry to back off.
	backoffsUntil time.Time
	// rejectionLimits holds what the newest answer of each service said.
	rejectionLimits map[ident.ServiceName]rejectionLimit
	// graceUntil is until when upstreams whose records are removed are kept, since they may register again.
	graceUntil time.Time
	// doubtful is set while an upstream may have lapsed or have a record that can't be read.
	doubtful bool
}

// NewModel returns a Model without upstreams.
//
//	m := fleet.NewModel()
//	m.Update(now, fleet.ListedMsg{Upstream: u})
func NewModel() *Model {
	return &Model{
		byID: map[ident.UpstreamID]*state{}, avoided: map[ident.Zone]bool{}, departed: map[ident.UpstreamID]int64{},
		rejectionLimits: map[ident.ServiceName]rejectionLimit{},
	}
}

// ListedMsg reports a record that was written.
type ListedMsg struct{ Upstream conf.Upstream }

// RemovedMsg reports a record that was removed.
type RemovedMsg struct{ ID ident.UpstreamID }

// UnreadableMsg reports a record under the ID of an upstream that names none to use. It may be of another writer; what is known of the
// upstream counts again with its next record.
type UnreadableMsg struct{ ID ident.UpstreamID }

// SnapshotMsg is the complete list; upstreams missing from it were removed.
type SnapshotMsg struct {
	Upstreams []conf.Upstream
	// Unreadable lists those whose record can't be read.
	Unreadable []ident.UpstreamID
}

// ListLostMsg reports that the list can't be read.
type ListLostMsg struct{}

// ListRestoredMsg reports that the list can be read again.
type ListRestoredMsg struct{}

// BrokenMsg reports an exchange that an upstream broke off or never answered.
type BrokenMsg struct{ ID ident.UpstreamID }

// IsolatedMsg reports that only this entry can't reach an upstream, or that it reaches the upstream again.
type IsolatedMsg struct {
	ID       ident.UpstreamID
	Isolated bool
}

// AnsweredMsg reports an exchange that an upstream answered.
type AnsweredMsg struct{ ID ident.UpstreamID }

// AddressReusedMsg reports that the address of an upstream belongs to another one.
type AddressReusedMsg struct{ ID, Owner ident.UpstreamID }

// ColdMsg is an upstream's own report of how much longer it is cold.
type ColdMsg struct {
	ID   ident.UpstreamID
	Left time.Duration
}

// OrderedMsg reports that an upstream starts no work until a time, as it carries out an order.
type OrderedMsg struct {
	ID    ident.UpstreamID
	Until time.Time
}

// WeightsMsg is an upstream's own report of the version of a model's weights that it has.
type WeightsMsg struct {
	ID      ident.UpstreamID
	Model   ident.ModelName
	Version int64
}

// AvoidMsg takes an availability zone out of service, or back into it.
type AvoidMsg struct {
	Zone    ident.Zone
	Avoided bool
}

// GoneCmd reports that an upstream was removed.
type GoneCmd struct {
	ID ident.UpstreamID
	// Born is its last incarnation. Draining is set if it had announced that it would leave.
	Born     int64
	Draining bool
}

// Update applies a message and returns the resulting commands.
func (m *Model) Update(now time.Time, msg ident.Msg) (cmds []ident.Cmd) {
	switch msg := msg.(type) {
	case ListedMsg:
		m.upsert(now, msg.Upstream)
	case RemovedMsg:
		return m.remove(now, msg.ID)
	case UnreadableMsg:
		m.suspend(now, msg.ID)
	case SnapshotMsg:
		return m.applySnapshot(now, msg)
	case ListLostMsg:
		m.graceUntil = now.Add(time.Hour)
	case ListRestoredMsg:
		m.graceUntil = now.Add(reregisterTimeout)
	case BrokenMsg:
		m.pause(now, msg.ID)
	case IsolatedMsg:
		if s := m.byID[msg.ID]; s != nil {
			// Failures of the link say nothing of the upstream.
			s.isolated, s.failures, s.pausedUntil, s.assumedColdUntil = msg.Isolated, 0, time.Time{}, time.Time{}
		}
	case AnsweredMsg:
		if s := m.byID[msg.ID]; s != nil {
			s.failures, s.pausedUntil = 0, time.Time{}
		}
	case AddressReusedMsg:
		m.pauseOthers(now, msg)
	case ColdMsg:
		if s := m.byID[msg.ID]; s != nil {
			s.coldUntil, s.assumedColdUntil = now.Add(msg.Left), time.Time{}
		}
	case LimitMsg:
		return m.applyLimit(now, msg)
	case OrderedMsg:
		if s := m.byID[msg.ID]; s != nil {
			s.orderedUntil = msg.Until
		}
	case LeavingMsg:
		return m.applyLeaving(msg)
	case RejectionLimitMsg:
		return m.applyRejectionLimit(msg)
	case RejectedMsg:
		m.applyRejection(now, msg)
	case WeightsMsg:
		if s := m.byID[msg.ID]; s != nil && s.reported[msg.Model] < msg.Version {
			s.reported[msg.Model] = msg.Version
			s.Weights[msg.Model] = max(s.Weights[msg.Model], msg.Version)
		}
	case AvoidMsg:
		m.avoided[msg.Zone] = msg.Avoided
	}
	return nil
}

// upsert applies a record, unless it is outdated. Draining and newer weights that the same incarnation has reported are kept: its records
// are late. What an earlier record said of the weights is not, which may have been another writer's.
func (m *Model) upsert(now time.Time, u conf.Upstream) {
	if u.Weights == nil {
		u.Weights = map[ident.ModelName]int64{}
	}
	s, known := m.byID[u.ID]
	if m.outdated(now, known, s, u) && (!known || !s.isSuperseded(now, u.Born)) {
		return
	}
	if !known || s.Born != u.Born {
		s = &state{reported: map[ident.ModelName]int64{}}
		m.byID[u.ID] = s
		m.byService = nil
	}
	for name, v := range s.reported {
		u.Weights[name] = max(u.Weights[name], v)
	}
	if s.Service != u.Service {
		m.byService = nil
	}
	u.Draining = u.Draining || known && s.Draining
	s.Upstream, s.lapsedAt, s.unreadableAt, s.olderAt = u, time.Time{}, time.Time{}, time.Time{}
	s.coldUntil, s.assumedColdUntil = now.Add(u.ColdLeft), time.Time{}
}

// outdated reports whether a record is of an older incarnation than the listed one, or of one that has departed. An incarnation of the
// future is none of the upstream, whose own records would all be outdated.
func (m *Model) outdated(now time.Time, known bool, s *state, u conf.Upstream) bool {
	if known {
		return u.Born < s.Born && !isFuture(now, s.Born)
	}
	left, ok := m.departed[u.ID]
	return ok && u.Born <= left && !isFuture(now, left)
}

// isSuperseded notes a record of an older incarnation, and reports whether that one is the present one after all: the listed one was
// another writer's.
func (s *state) isSuperseded(now time.Time, born int64) bool {
	if s.olderAt.IsZero() || s.olderBorn != born {
		s.olderBorn, s.olderAt = born, now
	}
	return now.Sub(s.olderAt) >= supersedeAfter
}

// isFuture reports whether an incarnation starts later than the clocks of upstreams can say.
func isFuture(now time.Time, born int64) bool {
	return time.UnixMilli(born).After(now.Add(maxClockError))
}

// remove removes an upstream. While the list is lost and within the grace period it only marks the record as lapsed.
func (m *Model) remove(now time.Time, id ident.UpstreamID) (cmds []ident.Cmd) {
	s, known := m.byID[id]
	if !known {
		return nil
	}
	if now.Before(m.graceUntil) {
		if s.lapsedAt.IsZero() {
			s.lapsedAt, m.doubtful = now, true
		}
		return nil
	}
	if s.Draining {
		m.departed[id] = s.Born
	}
	return []ident.Cmd{m.drop(id)}
}

func (m *Model) drop(id ident.UpstreamID) GoneCmd {
	s := m.byID[id]
	delete(m.byID, id)
	m.byService = nil
	return GoneCmd{ID: id, Born: s.Born, Draining: s.Draining}
}

// suspend withholds work from an upstream until its next record.
func (m *Model) suspend(now time.Time, id ident.UpstreamID) {
	if s := m.byID[id]; s != nil && s.unreadableAt.IsZero() {
		s.unreadableAt, m.doubtful = now, true
	}
}

// applySnapshot applies the listed records and removes the upstreams that aren't listed.
func (m *Model) applySnapshot(now time.Time, msg SnapshotMsg) (cmds []ident.Cmd) {
	missing := map[ident.UpstreamID]bool{}
	for id := range m.byID {
		missing[id] = true
	}
	for _, u := range msg.Upstreams {
		delete(missing, u.ID)
		m.upsert(now, u)
	}
	for _, id := range msg.Unreadable {
		delete(missing, id)
		m.suspend(now, id)
	}
	for id := range missing {
		cmds = append(cmds, m.remove(now, id)...)
	}
	return cmds
}

// DropLapsed removes the upstreams whose records lapsed during an outage and that haven't registered again within the
// grace period, and those that haven't long after a record that can't be read.
func (m *Model) DropLapsed(now time.Time) (cmds []ident.Cmd) {
	if !m.doubtful || now.Before(m.graceUntil) {
		return nil
	}
	m.doubtful = false
	for id, s := range m.byID {
		m.doubtful = m.doubtful || !s.unreadableAt.IsZero()
		if !s.lapsedAt.IsZero() || !s.unreadableAt.IsZero() && now.Sub(s.unreadableAt) >= unreadableTimeout {
			cmds = append(cmds, m.drop(id))
		}
	}
	return cmds
}

// pause withholds work from an upstream after a failure, for twice as long after each further one up to maxPause.
func (m *Model) pause(now time.Time, id ident.UpstreamID) {
	s := m.byID[id]
	if s == nil {
		return
	}
	// Requests that break at the same time count as one failure.
	if now.Before(s.pausedUntil) {
		return
	}
	s.failures++
	s.pausedUntil = now.Add(min(minPause<<min(s.failures-1, 8), maxPause))
	if s.failures > 1 {
		s.assumedColdUntil = now.Add(assumedCold)
	}
}

// pauseOthers withholds work from all upstreams at an address but its owner: there may be any number of copies of its record.
func (m *Model) pauseOthers(now time.Time, msg AddressReusedMsg) {
	reused := m.byID[msg.ID]
	if reused == nil {
		return
	}
	for id, s := range m.byID {
		if s.Address == reused.Address && id != msg.Owner {
			s.pausedUntil = now.Add(maxPause)
		}
	}
}

// Get returns the record of an upstream. ok is false if it isn't listed.
func (m *Model) Get(id ident.UpstreamID) (u conf.Upstream, ok bool) {
	s, ok := m.byID[id]
	if !ok {
		return conf.Upstream{}, false
	}
	return s.Upstream, true
}

// Status is which work an upstream may get.
type Status struct {
	// Usable, Cold and Ordered are the results of the methods of these names.
	Usable, Cold, Ordered bool
	// Returning is set if an upstream that isn't usable may be so again shortly, since it only pauses after a failure.
	Returning bool
	// Backoff is how long an upstream that serves otherwise asks this entry to back off; it isn't usable meanwhile.
	Backoff time.Duration
	// RejectionLimit is how many rejections a second it tolerates, if it says so. It is assumed, by what others of its service
	// say, if this incarnation has not answered yet.
	RejectionLimit        conf.NamedLimit
	RejectionLimitAssumed bool
	// Limit is the limit that it names, and LimitAge the time since an answer last did.
	Limit    conf.NamedLimit
	LimitAge time.Duration
}

// Each calls visit with the record and the status of each upstream of a service, in the order of their ids: callers that draw random
// numbers meanwhile decide the same with the same seed. The record must not be changed.
func (m *Model) Each(now time.Time, service ident.ServiceName, visit func(u *conf.Upstream, s Status)) {
	if m.byService == nil {
		m.byService = map[ident.ServiceName][]*state{}
		for _, s := range m.byID {
			m.byService[s.Service] = append(m.byService[s.Service], s)
		}
		for _, list := range m.byService {
			slices.SortFunc(list, func(a, b *state) int { return cmp.Compare(a.ID, b.ID) })
		}
	}
	for _, s := range m.byService[service] {
		visit(&s.Upstream, m.status(now, s))
	}
}

func (m *Model) status(now time.Time, s *state) Status {
	serves, paused, backoff := !s.Draining && s.unreadableAt.IsZero() && !m.avoided[s.Zone] && !s.isolated, now.Before(s.pausedUntil), time.Duration(0)
	if serves {
		backoff = max(s.backoffUntil.Sub(now), 0)
	}
	limit, assumed := m.rejectionLimit(s)
	return Status{
		Backoff: backoff, RejectionLimit: limit, RejectionLimitAssumed: assumed, Usable: serves && backoff == 0 && !paused, Returning: serves && backoff == 0 && paused, Limit: s.limit.current(now), LimitAge: now.Sub(s.limit.at),
		Cold: now.Before(s.coldUntil) || now.Before(s.assumedColdUntil), Ordered: now.Before(s.orderedUntil) || now.Before(s.rejectingUntil),
	}
}

// Scan calls visit with the record of every upstream, in no particular order. The record must not be changed.
func (m *Model) Scan(visit func(u *conf.Upstream)) {
	for _, s := range m.byID {
		visit(&s.Upstream)
	}
}

// All returns the record of every upstream, in no particular order.
func (m *Model) All() (all []conf.Upstream) {
	for _, s := range m.byID {
		all = append(all, s.Upstream)
	}
	return all
}

// Usable reports whether an upstream may get new work: it isn't draining, paused, asking to back off, isolated from this entry or in a
// zone that is out of service.
func (m *Model) Usable(now time.Time, id ident.UpstreamID) bool {
	s, ok := m.byID[id]
	return ok && m.status(now, s).Usable
}

// Isolated reports whether only this entry can't reach an upstream.
func (m *Model) Isolated(id ident.UpstreamID) bool {
	s, ok := m.byID[id]
	return ok && s.isolated
}

// Cold reports whether an upstream accepts requests only at a limited rate.
func (m *Model) Cold(now time.Time, id ident.UpstreamID) bool {
	s, ok := m.byID[id]
	return ok && m.status(now, s).Cold
}

// Ordered reports whether an upstream starts no work for now, as it executes an order or has just rejected a request.
func (m *Model) Ordered(now time.Time, id ident.UpstreamID) bool {
	s, ok := m.byID[id]
	return ok && m.status(now, s).Ordered
}

// AvoidedZones returns the availability zones that are out of service.
func (m *Model) AvoidedZones() (zones []ident.Zone) {
	for zone, avoided := range m.avoided {
		if avoided {
			zones = append(zones, zone)
		}
	}
	return zones
}

// Avoided reports whether an availability zone is out of service.
func (m *Model) Avoided(zone ident.Zone) bool { return m.avoided[zone] }
