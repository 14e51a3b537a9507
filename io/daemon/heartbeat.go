package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/lease"
	"cicadavalve/core/mesh"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
	"cicadavalve/core/times"
	"cicadavalve/core/watch"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
)

const (
	// minBeatInterval is the shortest interval of heartbeats. If a load report arrives after the next request, other
	// entries choose the same upstream, so changes are sent as soon as this interval allows.
	minBeatInterval = 10 * time.Millisecond
	// beatIntervalPerPair lengthens the interval with the square of the number of entries up to maxSquared, and
	// beatIntervalPerEntry with the number of entries beyond that, so that an entry applies some 150 to 250 heartbeats a second in
	// fleets of up to 100 entries.
	beatIntervalPerPair  = 150 * time.Microsecond
	beatIntervalPerEntry = 6 * time.Millisecond
	maxSquared           = 22
	// idleBeatInterval is the interval without changes.
	idleBeatInterval = 250 * time.Millisecond
	// maxBeatInterval is the longest interval: three heartbeats fit the silence after which an entry counts as dead.
	maxBeatInterval = 500 * time.Millisecond
	// beatJitter is the fraction of the interval by which a heartbeat may be early, so that entries that start together
	// don't stay in step and decide on the same loads.
	beatJitter = 0.2
	// sendBurst is the number of entries that are sent to at once: eight datagrams of a kilobyte take 7 ms on a
	// 10 Mbit/s link.
	sendBurst = 8
	// sendShare is the fraction of the interval over which a heartbeat to more than sendBurst entries is spread at most.
	sendShare = 0.5
	// maxSendGap bounds the pause between two groups of sendBurst datagrams.
	maxSendGap = 20 * time.Millisecond
	// orderedTTL is how long an upstream counts as carrying out an order after the last heartbeat that lists it, unless
	// a later heartbeat of the same entry no longer does.
	orderedTTL = 3 * maxBeatInterval
	// rateMemory is how long an entry that has fallen silent counts as one that uses its part of the rate of requests to
	// an upstream. It is short beside the memory for retries, since the part of an entry that has ended is missing.
	rateMemory = time.Minute
	// maxLeaving bounds the leaving upstreams that a heartbeat tells.
	maxLeaving = 20
	// maxLimits bounds the limits of upstreams that a heartbeat tells.
	maxLimits = 20
	// greetInterval is the interval at which heartbeats are also sent to the seeds and to entries that have fallen silent, and the
	// shortest interval at which one unknown entry is greeted.
	greetInterval = time.Second
	// maxSilentGreeted bounds the entries that have fallen silent and are sent a heartbeat all the same.
	maxSilentGreeted = 2
	// peersEvery is the number of heartbeats of which one lists other entries in a large fleet.
	peersEvery = 4
)

// heartbeat sends this entry's state to the other entries.
type heartbeat struct {
	d *Daemon
	// seeds lists the ids of entries from the settings; there may be no such entry any more.
	seeds        []string
	lastGreeting time.Time
}

// run sends a heartbeat after each change, and at idleBeatInterval without changes, until the context ends.
func (t *heartbeat) run(ctx context.Context) {
	for {
		begun := clock.Now()
		entries := t.beat(ctx, clock.Now())
		interval := time.Duration(float64(beatInterval(entries)) * (1 - beatJitter*rand.Float64()))
		if entries > sendBurst {
			interval -= clock.Since(begun)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		select {
		case <-ctx.Done():
			return
		case <-t.d.controller.changed:
		case <-time.After(max(idleBeatInterval-interval, 0)):
		}
	}
}

// beatInterval is the interval of heartbeats with changes, for a number of entries.
func beatInterval(entries int) time.Duration {
	squared := min(entries, maxSquared)
	return min(max(minBeatInterval, time.Duration(squared*squared)*beatIntervalPerPair, time.Duration(max(entries-maxSquared, 0))*beatIntervalPerEntry), maxBeatInterval)
}

func (t *heartbeat) beat(ctx context.Context, now time.Time) (entries int) {
	m, alive := t.d.controller.message(now)
	m.HoldsLease, m.Ordered = t.d.duty.status(now)
	paths := t.d.controller.paths(now, m.Number)
	if now.Sub(t.lastGreeting) >= greetInterval {
		t.lastGreeting = now
		paths.Direct = append(paths.Direct, t.d.controller.absent(now, t.seeds)...)
	}
	t.send(ctx, paths, len(alive), m)
	return len(alive)
}

// transmission is what is sent to one entry.
type transmission struct {
	to        string
	datagrams [][]byte
}

// send sends a message in small groups and in random order: a narrow link drops the end of a burst of datagrams, and the
// losses must not always hit the same entries.
func (t *heartbeat) send(ctx context.Context, paths mesh.Paths, entries int, m gossip.Message) {
	datagrams, err := gossip.Encode(m)
	if err != nil {
		t.d.log.Warn("heartbeat_not_encoded", "error", err)
		return
	}
	var list []transmission
	for _, id := range paths.Direct {
		list = append(list, transmission{id, datagrams})
	}
	var passed []gossip.Passed
	for _, b := range datagrams {
		passed = append(passed, gossip.Passed{Content: b})
	}
	for _, hop := range paths.Relayed {
		cell := &gossip.Cell{Zone: string(hop.Cell.Zone), Index: hop.Cell.Index, Count: hop.Cell.Count}
		envelopes, err := gossip.EncodeEnvelopes(t.d.self.ID, cell, passed)
		if err != nil {
			t.d.log.Warn("envelope_not_encoded", "error", err)
			continue
		}
		list = append(list, transmission{hop.Relay, envelopes})
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	gap := min(time.Duration(float64(beatInterval(entries))*sendShare*sendBurst/float64(max(len(list), 1))), maxSendGap)
	for group := range slices.Chunk(list, sendBurst) {
		for _, one := range group {
			if err := t.d.socket.Write([]string{one.to}, one.datagrams); err != nil {
				t.d.log.Debug("heartbeat_not_sent", "error", err)
			}
		}
		if len(list) <= sendBurst {
			return
		}
		pause(ctx, gap)
	}
}

// paths returns the ways of this entry's heartbeat of a number.
func (d *Controller) paths(now time.Time, number int64) mesh.Paths {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mesh.Paths(now, number)
}

// absent returns the seeds that don't count as alive, and some of the entries that have fallen silent.
func (d *Controller) absent(now time.Time, seeds []string) (ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range append(d.mesh.NextSilent(now, maxSilentGreeted), seeds...) {
		if !d.mesh.IsAlive(now, id) && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// message returns the next heartbeat and the entries to send it to, and empties the queues of changes.
func (d *Controller) message(now time.Time) (m gossip.Message, to []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.mesh.Self()
	alive := d.mesh.Alive(now)
	d.place.SetMembers(d.members(now, self, len(alive)))
	d.beats++
	m = gossip.Message{
		ID: self.ID, Address: self.Address, Zone: string(self.Zone), State: int(self.State), Boot: self.Boot, Relays: self.Relays, Number: d.beats,
		Heartbeat: true, Saves: d.saves, Prefills: d.prefills, Weights: d.weights, Marks: d.marks(now, len(alive)), Era: d.era,
		Partitioned: self.Partitioned, Version: d.configVersion(), Scope: d.sharedScope(),
	}
	if !watch.Shared(len(alive)) || d.beats%peersEvery == 0 {
		m.Peers = d.randomPeers(mesh.IDs(alive))
	}
	d.shareReach(now, &m)
	d.shareEvidence(now, len(alive), &m)
	d.shareRollouts(now, &m)
	d.shareCallers(now, &m)
	d.addUses(now, &m)
	for _, l := range d.place.Loads() {
		m.Loads = append(m.Loads, gossip.Load{Upstream: string(l.Upstream), Requests: l.Requests, Backlog: l.Backlog, Memory: l.Memory})
	}
	for _, t := range d.place.Transfers(now) {
		m.Links = append(m.Links, gossip.Link{Holder: string(t.Holder), BusyMS: int(t.Left.Milliseconds())})
	}
	m.Reports = d.takeReports(now, len(alive))
	for _, l := range d.fleet.TakeLimits(now, maxLimits) {
		m.Limits = append(m.Limits, gossip.Limit{
			Upstream: string(l.ID), Born: l.Born, Named: l.Limit.Named, PerSecond: l.Limit.PerSecond, AgeMS: int(now.Sub(l.At).Milliseconds()),
		})
	}
	m.ConcurrencyLimits = d.takeConcurrencyLimits(now)
	for _, l := range d.fleet.TakeLeaving(now, maxLeaving) {
		m.Leaving = append(m.Leaving, gossip.Leaving{Upstream: string(l.ID), Born: l.Born})
	}
	d.saves, d.prefills, d.weights = nil, nil, nil
	return m, mesh.IDs(alive)
}

// members describes this entry and those that share the rates of requests with it; the lock is held.
func (d *Controller) members(now time.Time, self mesh.Peer, alive int) (members place.Members) {
	sharers, known := d.mesh.Sharers(now, rateMemory)
	members = place.Members{Self: self.ID, Sharers: mesh.IDs(sharers), Zone: self.Zone, ReportInterval: beatInterval(alive)}
	if !known {
		members.Count = d.announced
	}
	return members
}

// maxPeers bounds the entries that a heartbeat lists. Random picks list each entry often enough to be found within a
// few heartbeats, and the size of a heartbeat doesn't grow with the number of entries.
const maxPeers = 4

// randomPeers picks at most [maxPeers] of the ids at random; the lock is held.
func (d *Controller) randomPeers(ids []string) (peers []string) {
	for _, i := range d.rng.Perm(len(ids))[:min(maxPeers, len(ids))] {
		peers = append(peers, ids[i])
	}
	return peers
}

// receive applies a message of another entry, or those of an envelope.
func (d *Daemon) receive(m gossip.Message) {
	if len(m.Passed) > 0 {
		d.receiveEnvelope(m)
		return
	}
	now := clock.Now()
	d.receiveMessage(now, now, m)
}

// receiveMessage applies a message that its sender sent at the given time at the earliest, and greets the entries that it lists and this
// one does not know.
func (d *Daemon) receiveMessage(now, sentAt time.Time, m gossip.Message) {
	if m.HoldsLease {
		d.duty.update(lease.HolderMsg{Holder: m.ID})
	}
	d.controller.applyPassed(now, sentAt, m)
	if m.Usage != nil && d.usage != nil {
		d.usage.receive(now, m)
	}
	for _, id := range d.controller.unknown(now, m.Peers) {
		d.greet(id)
	}
}

// unknown returns those of the ids from which nothing was received and that were not greeted lately.
func (d *Controller) unknown(now time.Time, ids []string) (unknown []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.greetedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= greetInterval })
	for _, id := range ids {
		if _, greeted := d.greetedAt[id]; !greeted && !d.mesh.IsAlive(now, id) {
			d.greetedAt[id] = now
			unknown = append(unknown, id)
		}
	}
	return unknown
}

// greet introduces this entry to another.
func (d *Daemon) greet(id string) {
	m, _ := d.controller.greeting()
	if err := d.socket.Send([]string{id}, m); err != nil {
		d.log.Debug("greeting_not_sent", "entry", id, "error", err)
	}
}

func (d *Controller) greeting() (m gossip.Message, self mesh.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	self = d.mesh.Self()
	return gossip.Message{
		ID: self.ID, Address: self.Address, Zone: string(self.Zone), State: int(self.State), Boot: self.Boot, Partitioned: self.Partitioned, Version: d.configVersion(), Relays: self.Relays, Scope: d.sharedScope(),
	}, self
}

// applyMessage applies a message that its sender has sent to this entry.
func (d *Controller) applyMessage(now time.Time, m gossip.Message) { d.applyPassed(now, now, m) }

// applyPassed applies a message that its sender sent at the given time at the earliest. A heartbeat that a newer one has overtaken
// replaces nothing.
func (d *Controller) applyPassed(now, sentAt time.Time, m gossip.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	msg := mesh.HeartbeatMsg{Number: m.Number, Peer: mesh.Peer{
		ID: m.ID, Address: m.Address, Zone: ident.Zone(m.Zone), State: mesh.State(m.State), Boot: m.Boot, Partitioned: m.Partitioned, Version: m.Version,
		Relays: m.Relays, Scope: m.Scope,
	}}
	if d.mesh.Outdated(msg) {
		m.Heartbeat = false
	}
	if !d.mesh.HasReceived(m.ID, m.Boot) {
		d.resend.Started(now)
	}
	d.mesh.Update(sentAt, msg)
	if m.Heartbeat {
		msg := place.PeerMsg{Peer: m.ID}
		for _, l := range m.Loads {
			msg.Loads = append(msg.Loads, place.Load{Upstream: ident.UpstreamID(l.Upstream), Requests: l.Requests, Backlog: l.Backlog, Memory: l.Memory})
		}
		for _, l := range m.Links {
			msg.Transfers = append(msg.Transfers, place.Transfer{Holder: parts.Holder(l.Holder), Left: time.Duration(l.BusyMS) * time.Millisecond})
		}
		d.place.Update(now, msg)
	}
	arrived := times.Earlier(d.stall.ArrivedSince(now), sentAt)
	d.hearReach(now, arrived, &m)
	for _, s := range m.Saves {
		d.index.Update(now, parts.SaveMsg{Store: parts.Holder(s.Store), Key: parts.Key(s.Key), Tokens: s.Tokens})
	}
	for _, r := range m.Prefills {
		d.index.Update(now, parts.PrefillingMsg{Holder: parts.Holder(r.Store), Key: parts.Key(r.Key), Tokens: r.Tokens})
	}
	for _, r := range m.Reports {
		d.recordPosition(now, &r)
		d.index.Update(now, reportMsg(arrived, r))
	}
	d.applyMarks(now, arrived, m.Era, m.Marks)
	d.applyEvidence(now, &m)
	d.hearRollouts(now, &m)
	d.applyUses(now, &m)
	if m.Heartbeat {
		d.applyCallers(sentAt, &m)
		d.setOrdered(now, m.ID, m.Ordered)
	}
	for _, l := range m.ConcurrencyLimits {
		d.whenListed(now, l.Upstream, l.Born, func(now time.Time) { d.applyConcurrencyLimit(now, arrived, l) })
	}
	for _, l := range m.Leaving {
		d.whenListed(now, l.Upstream, l.Born, func(now time.Time) {
			d.perform(d.fleet.Update(now, fleet.LeavingMsg{ID: ident.UpstreamID(l.Upstream), Born: l.Born, Heard: true}))
		})
	}
	for _, l := range m.Limits {
		d.whenListed(now, l.Upstream, l.Born, func(now time.Time) { d.applyLimit(now, arrived, l) })
	}
	for _, w := range m.Weights {
		d.fleet.Update(now, fleet.WeightsMsg{ID: ident.UpstreamID(w.Upstream), Model: ident.ModelName(w.Model), Version: w.Version})
	}
}

// reportMsg decodes a report in a message that arrived at the given time at the earliest.
func reportMsg(arrived time.Time, r gossip.Report) parts.ReportMsg {
	at := arrived.Add(-time.Duration(max(r.AgeMS, 0)) * time.Millisecond)
	msg := parts.ReportMsg{Holder: parts.Holder(r.Holder), Epoch: r.Epoch, At: at}
	for _, c := range r.Changes {
		msg.Changes = append(msg.Changes, parts.Change{Key: parts.Key(c.Key), Tokens: c.Tokens})
	}
	return msg
}

// setOrdered replaces the upstreams that carry out orders of one entry; those no longer listed may get requests at
// once. The lock is held.
func (d *Controller) setOrdered(now time.Time, entry string, ids []string) {
	for _, id := range d.ordered[entry] {
		if !slices.Contains(ids, id) {
			d.fleet.Update(now, fleet.OrderedMsg{ID: ident.UpstreamID(id), Until: now})
		}
	}
	for _, id := range ids {
		d.fleet.Update(now, fleet.OrderedMsg{ID: ident.UpstreamID(id), Until: now.Add(orderedTTL)})
	}
	d.ordered[entry] = ids
}
