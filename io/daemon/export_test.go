package daemon

import (
	"context"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/place"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

// Stepper runs the loops of a daemon step by step.
type Stepper struct {
	*Daemon
	operator, upstreams *feed
	verdicts            *verdicts
	rollouts            *rollouts
	followers           map[string]*follower
}

// NewStepper returns a stepper of a daemon that doesn't run.
func NewStepper(d *Daemon) *Stepper {
	return &Stepper{
		Daemon: d, operator: newFeed(d, port.Operator, 0, 0, operatorMaxAge), upstreams: newFeed(d, port.Upstreams, 0, 0, listMaxAge),
		verdicts: newVerdicts(d), rollouts: &rollouts{d: d}, followers: map[string]*follower{},
	}
}

// Read reads what follows in each topic.
func (s *Stepper) Read(ctx context.Context) (err error) {
	for _, f := range []*feed{s.operator, s.upstreams} {
		if err := f.step(ctx, f.watch.Next(), 0); err != nil {
			return err
		}
	}
	s.duty.readClaims(ctx)
	return nil
}

// ReadAgain reads snapshots of the topics, as after their records were trimmed.
func (s *Stepper) ReadAgain(ctx context.Context) (err error) {
	for _, f := range []*feed{s.operator, s.upstreams} {
		if err := f.step(ctx, -1, 0); err != nil {
			return err
		}
	}
	_ = s.verdicts.load(ctx)
	return s.rollouts.load(ctx)
}

// Decide makes the periodic decisions at a time, carries out the calls that follow, and passes a heartbeat to another entry.
func (s *Stepper) Decide(ctx context.Context, now time.Time, holds bool, to *Controller) (datagrams [][]byte, err error) {
	s.controller.Tick(now)
	for _, cmd := range s.duty.orders(holds) {
		(&task{s.duty, cmd}).run(ctx)
	}
	for addr, store := range s.controller.ownHolders(clock.Now()) {
		f, known := s.followers[addr]
		if !known {
			f = s.newFollower(clock.Now(), addr, store)
			s.followers[addr] = f
		}
		f.step(ctx)
	}
	m, _ := s.controller.message(now)
	_, m.Ordered = s.duty.status(now)
	to.applyMessage(now, m)
	return gossip.Encode(m)
}

// NewPeer returns the controller of another entry.
func (s *Stepper) NewPeer() *Controller {
	return NewController(s.settings, mesh.Peer{ID: "peer:1", State: mesh.Ready, Boot: 1}, s.log, 1)
}

// Place asks for a decision about a request, ok reports whether there is one at once. The request ends.
func (s *Stepper) Place(need place.Need) (decision relay.Decision, ok bool) {
	ch := s.controller.ask(need.Ticket, place.ArriveMsg{Need: need}, func(time.Time) {})
	select {
	case decision = <-ch:
		ok = true
	default:
	}
	if decision.Send != nil {
		s.controller.FirstByte(need.Ticket)
	}
	s.controller.withdraw(need.Ticket)
	return decision, ok
}

// Listed returns the record of an upstream, usable reports whether it may get work.
func (s *Stepper) Listed(id ident.UpstreamID) (u conf.Upstream, usable bool) {
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	u, _ = s.controller.fleet.Get(id)
	return u, s.controller.fleet.Usable(clock.Now(), id)
}

// Fail reports a request that an upstream broke off, or to which no connection could be opened.
func (s *Stepper) Fail(id ident.UpstreamID, unsent bool) {
	u, _ := s.Listed(id)
	s.controller.ObserveBreak(relay.Break{Upstream: id, Born: u.Born, Digest: "d", SentAt: clock.Now(), Unsent: unsent})
}
