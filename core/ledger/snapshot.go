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
	snapshotRetry = 2 * time.Second
	// retainedShare is the share of the retained records that may come after the newest snapshot.
	retainedShare = 2
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
	// due is when a snapshot is appended even if no record came; zero before the first message.
	due time.Time
	// earliest is when this entry may append its next snapshot.
	earliest time.Time
}

// start lets an entry that does not know the age of the newest snapshot be due at any part of the interval.
func (s *snapshots) start(now time.Time) {
	if s.due.IsZero() {
		s.due = now.Add(time.Duration(s.rng.Float64() * float64(s.interval)))
		s.draw()
	}
}

func (s *snapshots) draw() { s.share = (1 + s.rng.Float64()) / 2 }

// seen takes note of a snapshot in the log.
func (s *snapshots) seen(now time.Time, next int64) {
	s.covered = max(s.covered, next)
	s.draw()
	s.due = now.Add(time.Duration(s.share * float64(s.interval)))
}

// isDue reports whether to append a snapshot of the records before next, where the log keeps those from first on.
func (s *snapshots) isDue(now time.Time, first, next int64) bool {
	if next == 0 || now.Before(s.earliest) {
		return false
	}
	bound := s.records
	if first > 0 {
		bound = min(bound, (next-first)/retainedShare)
	}
	return !now.Before(s.due) || float64(next-s.covered) >= s.share*float64(bound)
}

// record is the snapshot to append; its id stays the same over repeated appends.
func (s *snapshots) record(now time.Time, state State) AppendCmd {
	s.earliest = now.Add(snapshotRetry)
	id := fmt.Sprintf("snapshot/%s/%d", s.entry, state.Next)
	return AppendCmd{StreamConfig, Record{ID: id, Kind: KindSnapshot, Writer: string(s.entry), Body: state.Encode()}}
}
