package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"cicadavalve/core/ident"
	"cicadavalve/core/limit"
	"cicadavalve/core/roster"
	"cicadavalve/io/peer"
)

const (
	peerQueue   = 256
	peerWorkers = 8
)

// peers performs the commands that ask other entries.
type peers struct {
	d       *Daemon
	client  *http.Client
	timeout time.Duration
	queue   chan ident.Cmd
}

func newPeers(d *Daemon, client *http.Client, timeout time.Duration) *peers {
	return &peers{d: d, client: client, timeout: timeout, queue: make(chan ident.Cmd, peerQueue)}
}

// add drops a command when the queue is full: the deciders ask again.
func (p *peers) add(cmd ident.Cmd) {
	select {
	case p.queue <- cmd:
	default:
		p.d.meter.Count("peer_commands_dropped", 1)
	}
}

func (p *peers) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range peerWorkers {
		group.Go(func() error { return p.loop(ctx) })
	}
	defer p.client.CloseIdleConnections()
	return group.Wait()
}

func (p *peers) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case cmd := <-p.queue:
			p.perform(ctx, cmd)
		}
	}
}

func (p *peers) perform(ctx context.Context, cmd ident.Cmd) {
	asking, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	switch cmd := cmd.(type) {
	case roster.PingCmd:
		heard, err := p.at(cmd.To).Ping(asking, p.d.identity(asking), cmd.Accusations)
		if err != nil || heard.From.Incarnation != cmd.To.Incarnation {
			p.d.post(ctx, roster.PingFailedMsg{To: cmd.To})
			return
		}
		p.d.post(ctx, heard)
	case limit.AskCmd:
		to, known := p.d.member(asking, cmd.To)
		if !known {
			return
		}
		if settled, err := p.at(to).Settle(asking, cmd.Upstream); err == nil {
			p.d.post(ctx, settled)
		}
	}
}

func (p *peers) at(m roster.Member) *peer.Client { return peer.NewClient(p.client, m.PeerAddress) }

// identity is this entry with its current incarnation.
func (d *Daemon) identity(ctx context.Context) (self roster.Member) {
	d.inspect(ctx, func() { self = d.node.Members().Self() })
	return self
}

// member finds the address of a holder of slots, as long as it is a member.
func (d *Daemon) member(ctx context.Context, h limit.Holder) (m roster.Member, known bool) {
	d.inspect(ctx, func() { m, known = d.node.Roster().Member(h.Entry) })
	return m, known && m.Incarnation == h.Incarnation
}

// Hear implements [peer.Neighbour].
func (d *Daemon) Hear(ctx context.Context, told roster.HeardMsg) (own roster.HeardMsg, err error) {
	ran := d.inspect(ctx, func() {
		d.update(ctx, d.clock.now(), told)
		self := d.node.Members().Self()
		own = roster.HeardMsg{
			From: self, Leaving: d.leaving, Accusations: d.node.Members().Watch().Accusations(self.Entry),
		}
	})
	if !ran {
		return own, errors.Wrap(ctx.Err(), "hear")
	}
	return own, nil
}

// Settled implements [peer.Neighbour].
func (d *Daemon) Settled(ctx context.Context, upstream ident.UpstreamID) (s limit.SettledMsg, err error) {
	ran := d.inspect(ctx, func() { s = d.node.Sched().Slots().Settled(d.clock.now(), upstream) })
	if !ran {
		return s, errors.Wrap(ctx.Err(), "settled")
	}
	return s, nil
}
