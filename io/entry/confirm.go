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
	confirmQueue = 64
	// mostConfirming bounds the confirmations that run at once.
	mostConfirming = 8
	confirmPoll    = 20 * time.Millisecond
)

// confirmer finds out when every other member has folded the verdicts that this entry has.
type confirmer struct {
	d     *Daemon
	queue queue[sched.ConfirmCmd]
}

func newConfirmer(d *Daemon) *confirmer {
	return &confirmer{d: d, queue: newQueue[sched.ConfirmCmd](confirmQueue)}
}

// ask never waits; the decider's own time limit answers what finds no place.
func (c *confirmer) ask(cmd sched.ConfirmCmd) {
	if !c.queue.offer(cmd) {
		c.d.log.Warn("confirmation_dropped", "request", cmd.Request)
	}
}

func (c *confirmer) run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(mostConfirming)
	_ = c.queue.run(ctx, func(ctx context.Context, cmd sched.ConfirmCmd) {
		group.Go(func() error {
			(&confirmation{c, cmd}).run(ctx)
			return nil
		})
	})
	return group.Wait()
}

// confirmation is one command that runs.
type confirmation struct {
	c   *confirmer
	cmd sched.ConfirmCmd
}

func (n *confirmation) run(ctx context.Context) {
	asking, cancel := context.WithTimeout(ctx, n.cmd.Within)
	defer cancel()
	for asking.Err() == nil {
		others, _, _ := n.c.d.asker.members(asking)
		if asking.Err() == nil && n.all(asking, others) {
			n.c.d.post(ctx, sched.ConfirmedMsg{Request: n.cmd.Request})
			return
		}
		pauseFor(asking, confirmPoll)
	}
}

// all reports whether each member has folded far enough.
func (n *confirmation) all(ctx context.Context, others []roster.Member) bool {
	var group errgroup.Group
	group.SetLimit(leaveAsks)
	behind := make([]bool, len(others))
	for i, m := range others {
		group.Go(func() error {
			behind[i] = n.position(ctx, m) < n.cmd.Next
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

// position is how far a member has folded the verdicts; 0 where it does not answer.
func (n *confirmation) position(ctx context.Context, m roster.Member) (next int64) {
	asking, cancel := context.WithTimeout(ctx, positionTimeout)
	defer cancel()
	if err := peer.NewClient(n.c.d.stater.client, m.PeerAddress).Show(asking, subjectVerdictNext, "", &next); err != nil {
		n.c.d.log.Warn("verdict_position_failed", "member", m.Entry, "error", err)
		return 0
	}
	return next
}
