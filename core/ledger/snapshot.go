package ledger

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	defaultSnapshotRecords  = 64
	defaultSnapshotInterval = 10 * time.Minute
	// minAppendInterval is the minimum interval between two snapshots by one entry.
	minAppendInterval = time.Second
	// maxAppendDelay is the longest random delay by which entries spread a snapshot that is due.
	maxAppendDelay = time.Second
	// maxUrgentDelay replaces maxAppendDelay if the log is about to drop records that the newest snapshot needs.
	maxUrgentDelay = 100 * time.Millisecond
	// If the log retains fewer than minRetained records, a snapshot is urgent only once the log has dropped a
	// record after the newest one.
	minRetained = 8
)

// SnapshotSchedule schedules this entry's snapshots of one fold. Any entry may append one: each waits
// for its own random number of records or its own random time, and a snapshot by another entry
// restarts both. Two snapshots at the same time do no harm.
type SnapshotSchedule struct {
	// maxRecords and maxInterval limit the records and the time since the newest snapshot.
	maxRecords  int64
	maxInterval time.Duration
	rng         *rand.Rand
	// covered is the highest next offset of the snapshots observed; it never decreases.
	covered int64
	// share is the random fraction of the limits, in [0.5,1), after which this entry appends.
	share float64
	// due is when the next snapshot is due; zero before the first message.
	due time.Time
	// earliest is when this entry may append its next snapshot.
	earliest time.Time
}

// Progress is the position of a fold in its stream.
type Progress struct {
	// First is the lowest offset that the log retains, and Next the first one not folded.
	First, Next int64
	// Records counts the records since the newest snapshot, without snapshots: these need no further one.
	Records int
}

// NewSnapshotSchedule returns a schedule with the given limits on records and time since the newest snapshot;
// 0 means the default.
func NewSnapshotSchedule(rng *rand.Rand, records int64, interval time.Duration) *SnapshotSchedule {
	s := &SnapshotSchedule{rng: rng}
	s.setLimits(records, interval)
	return s
}

func (s *SnapshotSchedule) setLimits(records int64, interval time.Duration) {
	s.maxRecords = cmp.Or(records, defaultSnapshotRecords)
	s.maxInterval = cmp.Or(interval, defaultSnapshotInterval)
}

// Covered returns the offset after the last record that the snapshots observed so far cover.
func (s *SnapshotSchedule) Covered() int64 { return s.covered }

// Start sets the first due time at random within the interval, since the age of the newest snapshot is not
// known. It has no effect after the first call.
func (s *SnapshotSchedule) Start(now time.Time) {
	if s.due.IsZero() {
		s.share = s.drawShare()
		s.due = now.Add(time.Duration(s.rng.Float64() * float64(s.maxInterval)))
	}
}

func (s *SnapshotSchedule) drawShare() float64 { return (1 + s.rng.Float64()) / 2 }

// Observe registers a snapshot in the log. It restarts the schedule if live is true; live is false for a snapshot
// that may be old.
func (s *SnapshotSchedule) Observe(now time.Time, next int64, live bool) {
	s.covered = max(s.covered, next)
	if !live {
		return
	}
	s.share = s.drawShare()
	s.due = now.Add(time.Duration(s.share * float64(s.maxInterval)))
}

// scheduleWithin moves the due time to a random one within span from now, unless it is due before that.
func (s *SnapshotSchedule) scheduleWithin(now time.Time, span time.Duration) {
	if s.due.Sub(now) > span {
		s.due = now.Add(time.Duration(s.rng.Float64() * float64(span)))
	}
}

// IsDue reports whether to append a snapshot now. It first brings the due time nearer if the progress calls for it.
func (s *SnapshotSchedule) IsDue(now time.Time, p Progress) bool {
	if p.Next == 0 {
		return false
	}
	if s.isUrgent(p) {
		s.scheduleWithin(now, maxUrgentDelay)
	}
	if float64(p.Records) >= s.share*float64(s.maxRecords) {
		s.scheduleWithin(now, maxAppendDelay)
	}
	return !now.Before(s.due) && !now.Before(s.earliest)
}

// isUrgent reports whether the log is about to drop, or has dropped, a record after the newest snapshot.
func (s *SnapshotSchedule) isUrgent(p Progress) bool {
	retained := p.Next - p.First
	if p.First == 0 || p.Records == 0 || retained < minRetained {
		return p.First > s.covered
	}
	return float64(p.Next-s.covered) > s.share*float64(retained)
}

// Next returns the earliest time at which IsDue may report true without further records.
func (s *SnapshotSchedule) Next() time.Time {
	if s.earliest.After(s.due) {
		return s.earliest
	}
	return s.due
}

// RecordAppend registers that this entry appends a snapshot now.
func (s *SnapshotSchedule) RecordAppend(now time.Time) { s.earliest = now.Add(minAppendInterval) }
