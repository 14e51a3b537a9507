package ledger

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cicadavalve/core/ident"
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

// snapshots decides when this entry appends a snapshot. Any entry may: each waits for its
// own random number of records and its own random time, and a snapshot by another entry
// starts both anew. Two entries that append at once do no harm.
type snapshots struct {
	entry ident.EntryID
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

// progress is how far a fold is.
type progress struct {
	// first is the lowest offset that the log keeps, and next the first one not folded.
	first, next int64
	// proposals counts those since the newest snapshot; snapshots do not ask for further ones.
	proposals int
}

// start lets an entry that does not know the age of the newest snapshot be due at any part of the interval.
func (s *snapshots) start(now time.Time) {
	if s.due.IsZero() {
		s.share = s.draw()
		s.due = now.Add(time.Duration(s.rng.Float64() * float64(s.interval)))
	}
}

func (s *snapshots) draw() float64 { return (1 + s.rng.Float64()) / 2 }

// seen takes note of a snapshot in the log; live is false for one that may be old.
func (s *snapshots) seen(now time.Time, next int64, live bool) {
	s.covered = max(s.covered, next)
	if !live {
		return
	}
	s.share = s.draw()
	s.due = now.Add(time.Duration(s.share * float64(s.interval)))
}

// within brings a snapshot forward to a random time in the span from now, unless it is due sooner.
func (s *snapshots) within(now time.Time, span time.Duration) {
	if s.due.Sub(now) > span {
		s.due = now.Add(time.Duration(s.rng.Float64() * float64(span)))
	}
}

// isDue reports whether to append a snapshot now.
func (s *snapshots) isDue(now time.Time, p progress) bool {
	if p.next == 0 {
		return false
	}
	if s.isUrgent(p) {
		s.within(now, urgentSpread)
	}
	if float64(p.proposals) >= s.share*float64(s.records) {
		s.within(now, spread)
	}
	return !now.Before(s.due) && !now.Before(s.earliest)
}

// isUrgent reports whether the log soon drops a record that the newest snapshot needs.
func (s *snapshots) isUrgent(p progress) bool {
	retained := p.next - p.first
	if p.first == 0 || p.proposals == 0 || retained < leastRetained {
		return p.first > s.covered
	}
	return float64(p.next-s.covered) > s.share*float64(retained)
}

// record is the snapshot to append; its id stays the same over repeated appends.
func (s *snapshots) record(now time.Time, state State) AppendCmd {
	s.earliest = now.Add(snapshotRetry)
	id := fmt.Sprintf("snapshot/%s/%d", s.entry, state.Next)
	return AppendCmd{StreamConfig, Record{ID: id, Kind: KindSnapshot, Writer: string(s.entry), Body: state.Encode()}}
}

// next is when a snapshot may be appended, as far as time decides it.
func (s *snapshots) next() time.Time {
	if s.earliest.After(s.due) {
		return s.earliest
	}
	return s.due
}
