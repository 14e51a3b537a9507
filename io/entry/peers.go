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
	peerQueueSize = 256
	peerWorkers   = 8
)

// peerSender executes the commands that send requests to other entries.
type peerSender struct {
	d       *Daemon
	client  *http.Client
	timeout time.Duration
	queue   chan ident.Cmd
}

func newPeerSender(d *Daemon, client *http.Client, timeout time.Duration) *peerSender {
	return &peerSender{d: d, client: client, timeout: timeout, queue: make(chan ident.Cmd, peerQueueSize)}
}

// enqueue drops the command if the queue is full: the state machines repeat it.
func (s *peerSender) enqueue(cmd ident.Cmd) {
	select {
	case s.queue <- cmd:
	default:
		s.d.meter.Count("peer_commands_dropped", 1)
	}
}

func (s *peerSender) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range peerWorkers {
		group.Go(func() error { return s.loop(ctx) })
	}
	defer s.client.CloseIdleConnections()
	return group.Wait()
}

func (s *peerSender) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case cmd := <-s.queue:
			s.perform(ctx, cmd)
		}
	}
}

func (s *peerSender) perform(ctx context.Context, cmd ident.Cmd) {
	reqCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	switch cmd := cmd.(type) {
	case roster.PingCmd:
		answer, err := s.clientFor(cmd.To).Ping(reqCtx, s.d.identity(reqCtx), cmd.Accusations)
		if err != nil || answer.From.Incarnation != cmd.To.Incarnation {
			s.d.post(ctx, roster.PingFailedMsg{To: cmd.To})
			return
		}
		s.d.post(ctx, answer)
	case limit.AskCmd:
		to, known := s.d.member(reqCtx, cmd.To)
		if !known {
			return
		}
		if settled, err := s.clientFor(to).Settle(reqCtx, cmd.Upstream); err == nil {
			s.d.post(ctx, settled)
		}
	}
}

func (s *peerSender) clientFor(m roster.Member) *peer.Client {
	return peer.NewClient(s.client, m.PeerAddress)
}

// identity returns this entry as a member with its current incarnation.
func (d *Daemon) identity(ctx context.Context) (self roster.Member) {
	d.inspect(ctx, func() { self = d.node.Members().Self() })
	return self
}

// member returns the roster's member for a holder of slots; known is false if that incarnation is not a member.
func (d *Daemon) member(ctx context.Context, h limit.Holder) (m roster.Member, known bool) {
	d.inspect(ctx, func() { m, known = d.node.Roster().Member(h.Entry) })
	return m, known && m.Incarnation == h.Incarnation
}

// ExchangeRoster implements [peer.Neighbour].
func (d *Daemon) ExchangeRoster(ctx context.Context, received roster.HeardMsg) (own roster.HeardMsg, err error) {
	ran := d.inspect(ctx, func() {
		d.update(ctx, d.clock.now(), received)
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
