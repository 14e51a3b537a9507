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

// journaler writes the journal to the platform's log in segments, limited to a byte rate.
type journaler struct {
	d        *Daemon
	journal  *record.Journal
	interval time.Duration
	// budget limits the rate of compressed bytes; its burst is the maximum size of a segment.
	budget *rate.Limiter
	// backlog holds the segments not yet appended, oldest first. Only run uses it. The sum of their sizes,
	// backlogBytes, is at most maxBacklogBytes.
	backlog         []backlogSegment
	backlogBytes    int
	maxBacklogBytes int
	// flushes requests a write from run, which closes the received channel after it.
	flushes chan chan struct{}
}

// backlogSegment is a segment encoded as a log record. Retries append the same record, with the same id.
type backlogSegment struct {
	record ledger.Record
	steps  int
	bytes  int
}

const (
	// journalBurstIntervals is the burst of the byte rate, as a number of journal intervals.
	journalBurstIntervals = 8
	// backlogDivisor divides the journal's memory limit to give the limit of the backlog.
	backlogDivisor = 2
)

func newJournaler(d *Daemon) *journaler {
	s := d.settings
	interval := time.Duration(s.JournalInterval)
	burst := int(float64(s.JournalRate) * interval.Seconds() * journalBurstIntervals)
	return &journaler{
		d: d, interval: interval, maxBacklogBytes: s.JournalBytes / backlogDivisor,
		journal: record.NewJournal(node.NewRegistry(), s.JournalBytes),
		flushes: make(chan chan struct{}),
		budget:  rate.NewLimiter(rate.Limit(s.JournalRate), burst),
	}
}

// recordOpen records the first step, whose settings a replay builds the state machines from.
func (j *journaler) recordOpen(now time.Time) {
	j.journal.Add(now, node.OpenMsg{Settings: j.d.node.Settings()}, nil)
}

// recordStep records a message and the commands that it caused. It must be called from the loop.
func (j *journaler) recordStep(now time.Time, msg ident.Msg, cmds []ident.Cmd) {
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

// flush writes the remaining steps at the end of a graceful shutdown. It returns after two append timeouts at the
// latest, and does nothing after an abort.
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

// write appends the recorded steps to the log. While the log is down or the rate is exhausted, segments stay in
// the backlog in order, since a replay stops at a missing step.
func (j *journaler) write(ctx context.Context) {
	var lines []record.Line
	j.d.inspect(ctx, func() { lines = j.journal.TakePending() })
	if len(lines) > 0 {
		j.addToBacklog(ctx, lines)
	}
	for len(j.backlog) > 0 && j.append(ctx, j.backlog[0]) {
		j.backlogBytes -= j.backlog[0].bytes
		j.backlog = j.backlog[1:]
	}
}

// addToBacklog encodes lines as a segment. A segment that exceeds the burst, which the rate would never allow, or the
// free space of the backlog is dropped, and its steps are counted.
func (j *journaler) addToBacklog(ctx context.Context, lines []record.Line) {
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
	if size > j.budget.Burst() || j.backlogBytes+size > j.maxBacklogBytes {
		j.d.log.Warn("journal_over_rate", "steps", len(lines), "bytes", size)
		j.drop(ctx, len(lines))
		return
	}
	j.backlog = append(j.backlog, backlogSegment{rec, len(lines), size})
	j.backlogBytes += size
}

// append tries once to append a segment to the log, if the rate allows it, and reports whether that succeeded.
func (j *journaler) append(ctx context.Context, b backlogSegment) (taken bool) {
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
	j.d.inspect(ctx, func() { j.journal.CountDropped(steps) })
}
