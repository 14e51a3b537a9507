package ledger

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	defaultSnapshotRecords  = 64
	defaultSnapshotInterval = 10 * time.Minute
	// snapshotRetry is the least time between two snapshots of one entry.
	snapshotRetry = time.Second
	// spread is the time over which the entries that find a snapshot due append theirs.
	spread = time.Second
	// urgentSpread takes its place where the log is about to drop what the newest snapshot needs.
	urgentSpread = 100 * time.Millisecond
	// leastRetained is the least number of retained records by which urgency is judged.
	leastRetained = 8
)

// Snapshots decides when this entry appends a snapshot of one fold. Any entry may: each waits
// for its own random number of records and its own random time, and a snapshot by another entry
// starts both anew. Two entries that append at once do no harm.
type Snapshots struct {
	// records and interval bound what comes after the newest snapshot.
	records  int64
	interval time.Duration
	rng      *rand.Rand
	// covered is the offset up to which the newest snapshot goes; it never decreases.
	covered int64
	// share in [0.5,1) is the part of the bounds that this entry waits for.
	share float64
	// due is when a snapshot is appended; zero before the first message.
	due time.Time
	// earliest is when this entry may append its next snapshot.
	earliest time.Time
}

// Progress is how far a fold is.
type Progress struct {
	// First is the lowest offset that the log keeps, and Next the first one not folded.
	First, Next int64
	// Records counts those since the newest snapshot; snapshots do not ask for further ones.
	Records int
}

// NewSnapshots waits for the given records and time at most; 0 takes the default.
func NewSnapshots(rng *rand.Rand, records int64, interval time.Duration) *Snapshots {
	s := &Snapshots{rng: rng}
	s.bound(records, interval)
	return s
}

func (s *Snapshots) bound(records int64, interval time.Duration) {
	s.records = cmp.Or(records, defaultSnapshotRecords)
	s.interval = cmp.Or(interval, defaultSnapshotInterval)
}

// Covered is the offset up to which the newest snapshot goes.
func (s *Snapshots) Covered() int64 { return s.covered }

// Start lets an entry that does not know the age of the newest snapshot be due at any part of the interval.
func (s *Snapshots) Start(now time.Time) {
	if s.due.IsZero() {
		s.share = s.draw()
		s.due = now.Add(time.Duration(s.rng.Float64() * float64(s.interval)))
	}
}

func (s *Snapshots) draw() float64 { return (1 + s.rng.Float64()) / 2 }

// Seen takes note of a snapshot in the log; live is false for one that may be old.
func (s *Snapshots) Seen(now time.Time, next int64, live bool) {
	s.covered = max(s.covered, next)
	if !live {
		return
	}
	s.share = s.draw()
	s.due = now.Add(time.Duration(s.share * float64(s.interval)))
}

// within brings a snapshot forward to a random time in the span from now, unless it is due sooner.
func (s *Snapshots) within(now time.Time, span time.Duration) {
	if s.due.Sub(now) > span {
		s.due = now.Add(time.Duration(s.rng.Float64() * float64(span)))
	}
}

// IsDue reports whether to append a snapshot now.
func (s *Snapshots) IsDue(now time.Time, p Progress) bool {
	if p.Next == 0 {
		return false
	}
	if s.isUrgent(p) {
		s.within(now, urgentSpread)
	}
	if float64(p.Records) >= s.share*float64(s.records) {
		s.within(now, spread)
	}
	return !now.Before(s.due) && !now.Before(s.earliest)
}

// isUrgent reports whether the log soon drops a record that the newest snapshot needs.
func (s *Snapshots) isUrgent(p Progress) bool {
	retained := p.Next - p.First
	if p.First == 0 || p.Records == 0 || retained < leastRetained {
		return p.First > s.covered
	}
	return float64(p.Next-s.covered) > s.share*float64(retained)
}

// Next is when a snapshot may be appended, as far as time decides it.
func (s *Snapshots) Next() time.Time {
	if s.earliest.After(s.due) {
		return s.earliest
	}
	return s.due
}

// Written takes note that this entry appends a snapshot now.
func (s *Snapshots) Written(now time.Time) { s.earliest = now.Add(snapshotRetry) }
