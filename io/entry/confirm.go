package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadavalve/core/roster"
	"cicadavalve/core/sched"
	"cicadavalve/io/peer"
)

const (
	confirmQueueSize = 64
	// maxConfirmations is the maximum number of concurrent confirmations.
	maxConfirmations    = 8
	confirmPollInterval = 20 * time.Millisecond
)

// confirmer polls the other members until each has folded the verdicts up to the offset in the command.
type confirmer struct {
	d     *Daemon
	queue queue[sched.ConfirmCmd]
}

func newConfirmer(d *Daemon) *confirmer {
	return &confirmer{d: d, queue: newQueue[sched.ConfirmCmd](confirmQueueSize)}
}

// enqueue never blocks. A command that does not fit into the queue is dropped; the state machine's own timeout covers
// it.
func (c *confirmer) enqueue(cmd sched.ConfirmCmd) {
	if !c.queue.offer(cmd) {
		c.d.log.Warn("confirmation_dropped", "request", cmd.Request)
	}
}

func (c *confirmer) run(ctx context.Context) error {
	return c.queue.runConcurrently(ctx, maxConfirmations, func(ctx context.Context, cmd sched.ConfirmCmd) {
		(&confirmation{c, cmd}).run(ctx)
	})
}

// confirmation executes one command.
type confirmation struct {
	c   *confirmer
	cmd sched.ConfirmCmd
}

func (n *confirmation) run(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, n.cmd.Within)
	defer cancel()
	for pollCtx.Err() == nil {
		others, _, _ := n.c.d.positionFetcher.members(pollCtx)
		if pollCtx.Err() == nil && n.allFolded(pollCtx, others) {
			n.c.d.post(ctx, sched.ConfirmedMsg{Request: n.cmd.Request})
			return
		}
		sleep(pollCtx, confirmPollInterval)
	}
}

// allFolded reports whether each member has folded the verdicts up to the offset in the command.
func (n *confirmation) allFolded(ctx context.Context, others []roster.Member) bool {
	var group errgroup.Group
	group.SetLimit(maxMemberRequests)
	behind := make([]bool, len(others))
	for i, m := range others {
		group.Go(func() error {
			behind[i] = n.foldedOffset(ctx, m) < n.cmd.Next
			return nil
		})
	}
	_ = group.Wait()
	for _, b := range behind {
		if b {
			return false
		}
	}
	return true
}

// foldedOffset returns the offset up to which a member has folded the verdicts, or 0 if it does not answer.
func (n *confirmation) foldedOffset(ctx context.Context, m roster.Member) (next int64) {
	reqCtx, cancel := context.WithTimeout(ctx, positionTimeout)
	defer cancel()
	if err := peer.NewClient(n.c.d.stateFetcher.client, m.PeerAddress).Show(
		reqCtx, subjectVerdictNext, "", &next,
	); err != nil {
		n.c.d.log.Warn("verdict_position_failed", "member", m.Entry, "error", err)
		return 0
	}
	return next
}
