package entry

import (
	"context"

	"cicadavalve/core/ledger"
)

// folds takes the batches of the log's streams to the entry's loop.
type folds struct {
	d *Daemon
}

// Post implements [logsvc.Fold]; it tells the time of the read in the deciders' clock.
func (f folds) Post(ctx context.Context, batch ledger.BatchMsg) {
	batch.Asked = f.d.clock.at(batch.Asked)
	f.d.post(ctx, batch)
}

// Failed implements [logsvc.Fold].
func (f folds) Failed(ctx context.Context, stream ledger.Stream) {
	f.d.post(ctx, ledger.ReadFailedMsg{Stream: stream})
}

// Wanted implements [logsvc.Fold].
func (f folds) Wanted(ctx context.Context, stream ledger.Stream) (offset int64, known bool) {
	known = f.d.inspect(ctx, func() { offset = f.d.wanted(stream) })
	return offset, known
}

// wanted is for the loop alone.
func (d *Daemon) wanted(stream ledger.Stream) int64 {
	switch stream {
	case ledger.StreamConfig:
		return d.node.Config().Wanted()
	case ledger.StreamRoster:
		return d.node.Roster().Wanted()
	case ledger.StreamVerdict:
		return min(d.node.Sched().VerdictNext(), d.node.Roll().Next())
	}
	return d.node.Once().Next()
}
