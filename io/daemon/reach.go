package daemon

import (
	"context"
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/reach"
	"cicadavalve/core/route"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/relay"
)

const (
	// maxWaitingProbes bounds the probes that wait for a prober; further ones are dropped and come again.
	maxWaitingProbes = 64
	// probers is how many probes run at once.
	probers = 16
	// maxUnreachable and maxContacts bound what a heartbeat tells of links.
	maxUnreachable = 8
	maxContacts    = 8
	// answerers is how many entries answer the question about one upstream at first. They may be cut off as well: the others answer
	// what is still asked after answerDelay, if they know or fail to reach nothing themselves.
	answerers   = 3
	answerDelay = time.Second
)

// observeLink records what an attempt that broke off says of the link; the lock is held.
func (d *Controller) observeLink(now time.Time, b relay.Break) {
	switch {
	case b.Unsent && !b.Abandoned:
		d.observeFailure(now, b.Upstream, b.SentAt)
	case b.Silent:
		d.perform(d.reach.Update(now, reach.SuspectMsg{ID: b.Upstream, SentAt: b.SentAt}))
	}
}

// observeFailure records that a connection could not be opened. If the process has just stood still, that is more likely the reason, and
// the link is only in doubt. The lock is held.
func (d *Controller) observeFailure(now time.Time, id ident.UpstreamID, sentAt time.Time) {
	if d.stall.ArrivedSince(now).Before(now) {
		d.perform(d.reach.Update(now, reach.SuspectMsg{ID: id, SentAt: sentAt}))
		return
	}
	d.perform(d.reach.Update(now, reach.FailedMsg{ID: id, At: sentAt}))
	d.wakeHeartbeat()
}

// ObserveSilence implements [relay.Controller].
func (d *Controller) ObserveSilence(id ident.UpstreamID, sentAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.reach.Update(clock.Now(), reach.SuspectMsg{ID: id, SentAt: sentAt}))
}

// tickReach decides which links are lost; the lock is held.
func (d *Controller) tickReach(now time.Time) {
	var listed []ident.UpstreamID
	if d.reach.Failing() > 0 || d.reach.Partitioned() {
		d.fleet.Scan(func(u *conf.Upstream) {
			if !u.Draining {
				listed = append(listed, u.ID)
			}
		})
	}
	d.perform(d.reach.Update(now, reach.TickMsg{Listed: listed}))
}

// requestProbe queues a probe; the lock is held.
func (d *Controller) requestProbe(id ident.UpstreamID) {
	u, listed := d.fleet.Get(id)
	if !listed {
		return
	}
	select {
	case d.probes <- u:
	default:
		d.log.Debug("probe_dropped", "upstream", id)
	}
}

// prober opens connections to upstreams to find out whether this entry reaches them.
type prober struct{ d *Daemon }

// run probes until the context ends.
func (p *prober) run(ctx context.Context) {
	defer p.d.controller.guard.Check()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-p.d.controller.probes:
			p.probe(ctx, u)
		}
	}
}

// probe opens a connection and closes it at once.
func (p *prober) probe(ctx context.Context, u conf.Upstream) {
	sentAt := clock.Now()
	c, err := p.d.outside.Dial(ctx, "tcp4", u.Address)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		if err := c.Close(); err != nil {
			p.d.log.Debug("probe_not_closed", "upstream", u.ID, "error", err)
		}
	}
	p.d.controller.observeProbe(clock.Now(), u.ID, sentAt, err == nil)
}

// observeProbe applies the result of a probe.
func (d *Controller) observeProbe(now time.Time, id ident.UpstreamID, sentAt time.Time, opened bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !opened {
		d.observeFailure(now, id, sentAt)
		return
	}
	d.perform(d.reach.Update(now, reach.ContactMsg{ID: id, At: sentAt, Opened: true}))
	d.wakeHeartbeat()
}

// shareReach adds questions about upstreams that this entry can't reach, and answers to those of others; the lock is held.
func (d *Controller) shareReach(now time.Time, m *gossip.Message) {
	for _, q := range d.reach.Queries(now, maxUnreachable) {
		m.Unreachable = append(m.Unreachable, gossip.Unreachable{Upstream: string(q.ID), AgeMS: int(q.Age.Milliseconds())})
	}
	for _, a := range d.reach.Answers(now, maxContacts) {
		m.Contacts = append(m.Contacts, gossip.Contact{Upstream: string(a.ID), AgeMS: int(a.Age.Milliseconds())})
	}
}

// hearReach applies what another entry tells of its links, in a message that arrived at the given time at the earliest; the
// lock is held.
func (d *Controller) hearReach(now, arrived time.Time, m *gossip.Message) {
	if len(m.Unreachable) > 0 {
		alive := mesh.IDs(mesh.Connected(d.mesh.Alive(now)))
		alive = slices.DeleteFunc(alive, func(id string) bool { return id == m.ID })
		for _, s := range m.Unreachable {
			id, age := ident.UpstreamID(s.Upstream), time.Duration(max(s.AgeMS, 0))*time.Millisecond
			since := arrived.Add(-age)
			isFirst := route.IsAmong(s.Upstream, d.mesh.Self().ID, alive, answerers)
			isLate := age >= answerDelay && (d.reach.Failing() == 0 || d.reach.ContactAt(id).After(since))
			if _, listed := d.fleet.Get(id); !listed || !isFirst && !isLate {
				continue
			}
			d.perform(d.reach.Update(now, reach.QueryMsg{ID: id, Since: since, Entries: len(alive) + 1}))
			d.wakeHeartbeat()
		}
	}
	for _, c := range m.Contacts {
		if _, listed := d.fleet.Get(ident.UpstreamID(c.Upstream)); listed {
			at := arrived.Add(-time.Duration(max(c.AgeMS, 0)) * time.Millisecond)
			d.perform(d.reach.Update(now, reach.HeardMsg{ID: ident.UpstreamID(c.Upstream), At: at}))
		}
	}
}

// Peer implements [relay.Controller].
func (d *Controller) Peer(service ident.ServiceName, lack relay.Lack, tried []string) (id string, ok bool) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lack(now, service) < lack {
		return "", false
	}
	self := d.mesh.Self().ID
	serving := slices.DeleteFunc(mesh.Connected(d.mesh.Serving(now)), func(p mesh.Peer) bool { return p.ID == self })
	return d.peers.Choose(now, mesh.IDs(serving), append(d.ineligible(serving, lack, tried), tried...))
}

// ineligible returns those of the peers to which no request should be handed over. Callers must not see an older configuration than this
// entry's, nor a newer one that its own answers then contradict. Unless there is no other way, requests go to peers with the same one. An
// entry that reports no version is of an earlier build, which may not take requests over. The lock is held.
func (d *Controller) ineligible(peers []mesh.Peer, lack relay.Lack, tried []string) (ids []string) {
	own := d.configVersion()
	var same, untold, newer, older []string
	for _, p := range peers {
		switch {
		case slices.Contains(tried, p.ID):
		case p.Version == own:
			same = append(same, p.ID)
		case p.Version == 0:
			untold = append(untold, p.ID)
		case p.Version > own:
			newer = append(newer, p.ID)
		default:
			older = append(older, p.ID)
		}
	}
	switch {
	case len(same) > 0:
		return slices.Concat(untold, newer, older)
	case len(untold) > 0 || lack < relay.LacksMost:
		return append(newer, older...)
	case len(newer) > 0:
		return older
	}
	return nil
}

// ObservePeer implements [relay.Controller].
func (d *Controller) ObservePeer(id string, reached bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.Update(clock.Now(), reach.PeerTriedMsg{ID: id, Reached: reached})
}

// lack returns how many links to the upstreams of a service this entry has lost; the lock is held.
func (d *Controller) lack(now time.Time, service ident.ServiceName) relay.Lack {
	if d.reach.Failing() == 0 {
		return relay.LacksNothing
	}
	lost, reached := 0, 0
	d.fleet.Scan(func(u *conf.Upstream) {
		switch {
		case u.Service != service || u.Draining || d.fleet.Avoided(u.Zone):
		case d.reach.Isolated(u.ID):
			lost++
		case d.reach.Reached(now, u.ID):
			reached++
		}
	})
	switch {
	case reach.IsMost(lost, reached):
		return relay.LacksMost
	case lost > 0:
		return relay.LacksSome
	}
	return relay.LacksNothing
}
