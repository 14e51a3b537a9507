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
}

// journalBurst is how many intervals' bytes a segment may use at once.
const journalBurst = 8

func newJournaler(d *Daemon) *journaler {
	s := d.settings
	interval := time.Duration(s.JournalInterval)
	burst := int(float64(s.JournalRate) * interval.Seconds() * journalBurst)
	return &journaler{
		d: d, interval: interval, journal: record.NewJournal(node.NewRegistry(), s.JournalBytes),
		budget: rate.NewLimiter(rate.Limit(s.JournalRate), burst),
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
		}
	}
}

// write hands the waiting steps to the log; steps over the rate are dropped and counted.
func (j *journaler) write(ctx context.Context) {
	var lines []record.Line
	j.d.inspect(ctx, func() { lines = j.journal.Take() })
	if len(lines) == 0 {
		return
	}
	segment, err := record.NewSegment(j.d.incarnation, lines)
	if err != nil {
		j.d.log.Error("journal_not_encoded", "error", err)
		j.drop(ctx, len(lines))
		return
	}
	j.d.meter.Count("journal_offered_bytes", int64(len(segment.Data)))
	if !j.budget.AllowN(time.Now(), len(segment.Data)) {
		j.d.log.Warn("journal_over_rate", "steps", len(lines), "bytes", len(segment.Data))
		j.drop(ctx, len(lines))
		return
	}
	j.append(ctx, segment)
}

func (j *journaler) append(ctx context.Context, segment record.Segment) {
	rec, err := ledger.NewRecord(uuid.NewString(), record.KindSegment, j.d.settings.Entry, segment)
	if err != nil {
		j.d.log.Error("journal_not_encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(j.d.settings.LogTimeout))
	defer cancel()
	stream := record.StreamOf(j.d.self.Entry)
	if err := j.d.logs.Append(ctx, stream, []ledger.Record{rec}); err != nil {
		j.d.log.Warn("journal_append_failed", "steps", segment.Count, "error", err)
		j.drop(ctx, segment.Count)
		return
	}
	j.d.meter.Count("journal_log_bytes", int64(len(segment.Data)))
}

func (j *journaler) drop(ctx context.Context, steps int) {
	j.d.meter.Count("journal_dropped_steps", int64(steps))
	j.d.inspect(ctx, func() { j.journal.Drop(steps) })
}
