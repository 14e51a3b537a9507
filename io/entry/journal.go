package entry

import (
	"context"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/node"
	"cicadavalve/core/record"
)

// journaler writes the journal to the platform's log in segments, within a rate of bytes.
type journaler struct {
	d        *Daemon
	journal  *record.Journal
	interval time.Duration
	// budget bounds the compressed bytes; its burst is what a segment may have at most.
	budget *rate.Limiter
	// backlog holds the segments that wait for the log, the oldest first; run alone uses it. The sum of their
	// sizes, backlogBytes, is at most backlogMost.
	backlog      []backlogged
	backlogBytes int
	backlogMost  int
	// flushes asks run to write once more; run closes what it is handed.
	flushes chan chan struct{}
}

// backlogged is a segment in its record, whose id stays the same over repeated appends.
type backlogged struct {
	record ledger.Record
	steps  int
	bytes  int
}

const (
	// journalBurst is how many intervals' bytes a segment may use at once.
	journalBurst = 8
	// backlogPart is the part of the journal's memory that segments may take while they wait for the log.
	backlogPart = 2
)

func newJournaler(d *Daemon) *journaler {
	s := d.settings
	interval := time.Duration(s.JournalInterval)
	burst := int(float64(s.JournalRate) * interval.Seconds() * journalBurst)
	return &journaler{
		d: d, interval: interval, backlogMost: s.JournalBytes / backlogPart, journal: record.NewJournal(node.NewRegistry(), s.JournalBytes),
		flushes: make(chan chan struct{}),
		budget:  rate.NewLimiter(rate.Limit(s.JournalRate), burst),
	}
}

// open notes the first step, from which a replay builds the deciders.
func (j *journaler) open(now time.Time) {
	j.journal.Add(now, node.OpenMsg{Settings: j.d.node.Settings()}, nil)
}

// note is for the loop alone.
func (j *journaler) note(now time.Time, msg ident.Msg, cmds []ident.Cmd) {
	j.journal.Add(now, msg, cmds)
}

func (j *journaler) run(ctx context.Context) error {
	ticker := time.NewTicker(j.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			j.write(ctx)
		case written := <-j.flushes:
			j.write(ctx)
			close(written)
		}
	}
}

// flush writes what waits, at the end of a planned stop. It takes no longer than two appends, and does nothing after an abort.
func (j *journaler) flush(ctx context.Context) {
	select {
	case <-j.d.aborted:
		return
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Duration(j.d.settings.LogTimeout))
	defer cancel()
	written := make(chan struct{})
	select {
	case j.flushes <- written:
	case <-ctx.Done():
		return
	}
	select {
	case <-written:
	case <-ctx.Done():
	}
}

// write hands the waiting steps to the log. Segments wait there in order while the log is down or the rate
// is used up, since a replay can't go past a step that is missing.
func (j *journaler) write(ctx context.Context) {
	var lines []record.Line
	j.d.inspect(ctx, func() { lines = j.journal.Take() })
	if len(lines) > 0 {
		j.queue(ctx, lines)
	}
	for len(j.backlog) > 0 && j.append(ctx, j.backlog[0]) {
		j.backlogBytes -= j.backlog[0].bytes
		j.backlog = j.backlog[1:]
	}
}

// queue makes a segment of lines. One that finds no room, or that the rate never allows, is dropped and counted.
func (j *journaler) queue(ctx context.Context, lines []record.Line) {
	segment, err := record.NewSegment(j.d.incarnation, lines)
	if err != nil {
		j.d.log.Error("journal_not_encoded", "error", err)
		j.drop(ctx, len(lines))
		return
	}
	rec, err := ledger.NewRecord(uuid.NewString(), record.KindSegment, j.d.settings.Entry, segment)
	if err != nil {
		j.d.log.Error("journal_not_encoded", "error", err)
		j.drop(ctx, len(lines))
		return
	}
	size := len(segment.Data)
	j.d.meter.Count("journal_offered_bytes", int64(size))
	if size > j.budget.Burst() || j.backlogBytes+size > j.backlogMost {
		j.d.log.Warn("journal_over_rate", "steps", len(lines), "bytes", size)
		j.drop(ctx, len(lines))
		return
	}
	j.backlog = append(j.backlog, backlogged{rec, len(lines), size})
	j.backlogBytes += size
}

// append reports whether the log took a segment.
func (j *journaler) append(ctx context.Context, b backlogged) (taken bool) {
	if !j.budget.AllowN(time.Now(), b.bytes) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(j.d.settings.LogTimeout))
	defer cancel()
	if err := j.d.logs.Append(ctx, record.StreamOf(j.d.self.Entry), []ledger.Record{b.record}); err != nil {
		j.d.log.Warn("journal_append_failed", "steps", b.steps, "waiting_bytes", j.backlogBytes, "error", err)
		return false
	}
	j.d.meter.Count("journal_log_bytes", int64(b.bytes))
	return true
}

func (j *journaler) drop(ctx context.Context, steps int) {
	j.d.meter.Count("journal_dropped_steps", int64(steps))
	j.d.inspect(ctx, func() { j.journal.Drop(steps) })
}
