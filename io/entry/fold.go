package entry

import (
	"context"

	"cicadavalve/core/ledger"
)

// logFold posts the batches read from the log's streams to the entry's loop.
type logFold struct {
	d *Daemon
}

// Post implements [logsvc.Fold]. It converts the time of the read to the state machines' clock.
func (f logFold) Post(ctx context.Context, batch ledger.BatchMsg) {
	batch.ReadStart = f.d.clock.at(batch.ReadStart)
	f.d.post(ctx, batch)
}

// ReadFailed implements [logsvc.Fold].
func (f logFold) ReadFailed(ctx context.Context, stream ledger.Stream) {
	f.d.post(ctx, ledger.ReadFailedMsg{Stream: stream})
}

// NextOffset implements [logsvc.Fold].
func (f logFold) NextOffset(ctx context.Context, stream ledger.Stream) (offset int64, known bool) {
	known = f.d.inspect(ctx, func() { offset = f.d.readOffset(stream) })
	return offset, known
}

// readOffset returns the offset of the next record that the stream's folds need. It must be called from the loop.
func (d *Daemon) readOffset(stream ledger.Stream) int64 {
	switch stream {
	case ledger.StreamConfig:
		return d.node.Config().ReadOffset()
	case ledger.StreamRoster:
		return d.node.Roster().ReadOffset()
	case ledger.StreamVerdict:
		return min(d.node.Sched().VerdictNext(), d.node.Roll().Next())
	}
	return d.node.Once().Next()
}
