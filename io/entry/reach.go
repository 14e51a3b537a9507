package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"cicadavalve/core/ident"
	"cicadavalve/core/roster"
	"cicadavalve/core/sched"
	"cicadavalve/io/peer"
)

const (
	reachQueueSize = 256
	// maxReachChecks is the maximum number of concurrent checks.
	maxReachChecks = 8
	// maxReachAsked is the maximum number of members that are asked at a time.
	maxReachAsked = 16
	// reachTimeout bounds the question to one member, and reachProbeTimeout that member's probe.
	reachTimeout      = 500 * time.Millisecond
	reachProbeTimeout = 300 * time.Millisecond
)

// reachChecker asks the other members about upstreams that this entry does not reach.
type reachChecker struct {
	d     *Daemon
	queue queue[sched.CheckReachCmd]
}

func newReachChecker(d *Daemon) *reachChecker {
	return &reachChecker{d: d, queue: newQueue[sched.CheckReachCmd](reachQueueSize)}
}

// enqueue never blocks. A command that does not fit into the queue is dropped; the next missed probe repeats it.
func (c *reachChecker) enqueue(cmd sched.CheckReachCmd) {
	if !c.queue.offer(cmd) {
		c.d.log.Warn("reach_check_dropped", "upstream", cmd.Upstream)
	}
}

func (c *reachChecker) run(ctx context.Context) error {
	return c.queue.runConcurrently(ctx, maxReachChecks, func(ctx context.Context, cmd sched.CheckReachCmd) {
		(&reachCheck{c.d, cmd}).run(ctx)
	})
}

// reachCheck executes one command.
type reachCheck struct {
	d   *Daemon
	cmd sched.CheckReachCmd
}

// run asks other members, drawn at random. One that does not answer counts as one that does not reach the upstream.
func (c *reachCheck) run(ctx context.Context) {
	others, _, _ := c.d.positionFetcher.members(ctx)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxReachAsked)]
	reached := make([]bool, len(others))
	var group errgroup.Group
	for i, m := range others {
		group.Go(func() error {
			reached[i] = c.ask(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
	for i, m := range others {
		if reached[i] {
			c.d.log.Info("upstream_reached_by_others", "upstream", c.cmd.Upstream, "member", m.Entry)
			return
		}
	}
	c.d.post(ctx, sched.UnreachedMsg{Upstream: c.cmd.Upstream})
}

func (c *reachCheck) ask(ctx context.Context, m roster.Member) (reached bool) {
	reqCtx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	err := peer.NewClient(c.d.stateFetcher.client, m.PeerAddress).Show(reqCtx, subjectReach, string(c.cmd.Upstream), &reached)
	if err != nil {
		c.d.log.Warn("reach_not_answered", "upstream", c.cmd.Upstream, "member", m.Entry, "error", err)
		return false
	}
	return reached
}

// reaches probes an upstream for another entry.
func (d *Daemon) reaches(ctx context.Context, id ident.UpstreamID) (reached bool, err error) {
	defer func() { err = errors.Wrapf(err, "probe %s", id) }()
	var address string
	if !d.inspect(ctx, func() { address, reached = d.node.Sched().Address(id) }) {
		return false, ctx.Err()
	}
	if !reached {
		return false, nil
	}
	probeCtx, cancel := context.WithTimeout(ctx, reachProbeTimeout)
	defer cancel()
	load, err := d.engines.Load(probeCtx, address)
	if err != nil {
		d.log.Info("probe_for_other_failed", "upstream", id, "error", err)
		return false, nil
	}
	d.post(ctx, sched.LoadMsg{Upstream: id, Load: load})
	return true, nil
}
