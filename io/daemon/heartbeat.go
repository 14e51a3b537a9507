package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/lease"
	"cicadavalve/core/mesh"
	"cicadavalve/core/parts"
	"cicadavalve/core/place"
	"cicadavalve/io/gossip"
)

const (
	// leastBeat is the fastest pace of the heartbeats between entries. A load that is told later than the next
	// request comes draws other entries to the same upstream, so each change is told at once at this pace.
	leastBeat = 10 * time.Millisecond
	// beatPerPair slows the heartbeats with the square of the number of entries, so that what one entry has to
	// read falls as entries become more.
	beatPerPair = 150 * time.Microsecond
	// idleBeat is the pace without changes.
	idleBeat = 250 * time.Millisecond
	// mostBeat is the slowest pace; three heartbeats fit the silence after which an entry counts as dead.
	mostBeat = 500 * time.Millisecond
	// beatSpread is the part by which a heartbeat may be early: entries that start together must not look at the
	// same loads at the same moments for ever.
	beatSpread = 0.2
	// burst is how many entries are sent to at once: eight datagrams of a kilobyte take a link of 10 Mbit/s 7 ms.
	burst = 8
	// sendShare is the part of the pace over which a heartbeat to more entries is spread.
	sendShare = 0.5
	// orderedTime is how long an entry's word counts that an upstream carries out an order, unless it takes it back.
	orderedTime = 3 * mostBeat
	// greetInterval is the pace at which an entry without peers asks those it was told of.
	greetInterval = time.Second
)

// heartbeat tells the other entries what this one knows.
type heartbeat struct {
	d *Daemon
	// told lists addresses of entries that were never heard of.
	told  []string
	greet time.Time
}

// run sends a heartbeat after each change and at the slowest pace.
func (t *heartbeat) run(ctx context.Context) {
	for {
		begun := time.Now()
		entries := t.beat(ctx, time.Now())
		least := time.Duration(float64(pace(entries)) * (1 - beatSpread*rand.Float64()))
		if entries > burst {
			least -= time.Since(begun)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(least):
		}
		select {
		case <-ctx.Done():
			return
		case <-t.d.controller.changed:
		case <-time.After(max(idleBeat-least, 0)):
		}
	}
}

// pace is the time between two heartbeats with changes among so many entries.
func pace(entries int) time.Duration {
	return min(max(leastBeat, time.Duration(entries*entries)*beatPerPair), mostBeat)
}

func (t *heartbeat) beat(ctx context.Context, now time.Time) (entries int) {
	m, alive := t.d.controller.message(now)
	m.Holds, m.Ordered = t.d.duty.standing(now)
	to := alive
	if now.Sub(t.greet) >= greetInterval {
		t.greet = now
		to = unique(append(to, t.told...))
	}
	t.send(ctx, to, m)
	return len(alive)
}

// send sends a message to entries in small groups, in an order that differs from time to time: a narrow link drops
// what follows in a burst of datagrams, and it must not always be the same entries that miss it.
func (t *heartbeat) send(ctx context.Context, to []string, m gossip.Message) {
	datagrams, err := gossip.Encode(m)
	if err != nil {
		t.d.log.Warn("heartbeat_not_encoded", "error", err)
		return
	}
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	gap := time.Duration(float64(pace(len(to))) * sendShare * burst / float64(len(to)))
	for group := range slices.Chunk(to, burst) {
		if err := t.d.socket.Write(group, datagrams); err != nil {
			t.d.log.Debug("heartbeat_not_sent", "error", err)
		}
		if len(to) <= burst {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
	}
}

func unique(ids []string) (once []string) {
	seen := map[string]bool{}
	for _, id := range ids {
		if !seen[id] {
			seen[id] = true
			once = append(once, id)
		}
	}
	return once
}

// message gathers what the other entries are to know.
func (d *Controller) message(now time.Time) (m gossip.Message, to []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.mesh.Self()
	alive := d.mesh.Alive(now)
	d.place.SetMembers(place.Members{Self: self.ID, IDs: mesh.IDs(alive), Zone: self.Zone, Pace: pace(len(alive))})
	m = gossip.Message{
		ID: self.ID, Address: self.Address, Zone: string(self.Zone), Life: int(self.Life), Boot: self.Boot,
		Peers: d.some(mesh.IDs(alive)), Beat: true, Saves: d.saves, Reads: d.reads, Weights: d.weights, Marks: d.marks(now, len(alive)),
	}
	for _, l := range d.place.Loads() {
		m.Loads = append(m.Loads, gossip.Load{Upstream: string(l.Upstream), Requests: l.Requests, Backlog: l.Backlog, Memory: l.Memory})
	}
	for _, t := range d.place.Transfers(now) {
		m.Links = append(m.Links, gossip.Link{Holder: string(t.Holder), BusyMS: int(t.Left.Milliseconds())})
	}
	for _, r := range d.reports {
		m.Reports = append(m.Reports, *r)
	}
	d.saves, d.reads, d.weights = nil, nil, nil
	clear(d.reports)
	return m, mesh.IDs(alive)
}

// mostTold is how many other entries a heartbeat tells of. Each entry is told of often enough to be found within
// a few heartbeats, and the size of a heartbeat doesn't grow with the number of entries.
const mostTold = 4

// some picks a few ids at random; the lock is held.
func (d *Controller) some(ids []string) (few []string) {
	for _, i := range d.rng.Perm(len(ids))[:min(mostTold, len(ids))] {
		few = append(few, ids[i])
	}
	return few
}

// hear takes in what another entry tells.
func (d *Daemon) hear(m gossip.Message) {
	now := time.Now()
	if m.Holds {
		d.duty.update(lease.HeardMsg{Holder: m.ID})
	}
	d.controller.hear(now, m)
	for _, id := range d.controller.unknown(now, m.Peers) {
		d.greet(id)
	}
}

// unknown lists those of some entries that were not heard of lately.
func (d *Controller) unknown(now time.Time, ids []string) (unknown []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(ids, func(id string) bool { return d.mesh.Knows(now, id) })
}

// greet describes this entry to one that another told of.
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
	return gossip.Message{ID: self.ID, Address: self.Address, Zone: string(self.Zone), Life: int(self.Life), Boot: self.Boot}, self
}

func (d *Controller) hear(now time.Time, m gossip.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mesh.Update(now, mesh.HeardMsg{Peer: mesh.Peer{
		ID: m.ID, Address: m.Address, Zone: ident.Zone(m.Zone), Life: mesh.Life(m.Life), Boot: m.Boot,
	}})
	if m.Beat {
		msg := place.PeerMsg{Peer: m.ID}
		for _, l := range m.Loads {
			msg.Loads = append(msg.Loads, place.Load{Upstream: ident.UpstreamID(l.Upstream), Requests: l.Requests, Backlog: l.Backlog, Memory: l.Memory})
		}
		for _, l := range m.Links {
			msg.Transfers = append(msg.Transfers, place.Transfer{Holder: parts.Holder(l.Holder), Left: time.Duration(l.BusyMS) * time.Millisecond})
		}
		d.place.Update(now, msg)
	}
	for _, s := range m.Saves {
		d.index.Update(now, parts.SaveMsg{Store: parts.Holder(s.Store), Key: parts.Key(s.Key), Tokens: s.Tokens})
	}
	for _, r := range m.Reads {
		d.index.Update(now, parts.ReadingMsg{Holder: parts.Holder(r.Store), Key: parts.Key(r.Key), Tokens: r.Tokens})
	}
	for _, r := range m.Reports {
		d.index.Update(now, report(r))
	}
	d.hearMarks(now, m.Marks)
	if m.Beat {
		d.setOrdered(now, m.ID, m.Ordered)
	}
	for _, w := range m.Weights {
		d.fleet.Update(now, fleet.WeightsMsg{ID: ident.UpstreamID(w.Upstream), Model: ident.ModelName(w.Model), Version: w.Version})
	}
}

func report(r gossip.Report) parts.ReportMsg {
	msg := parts.ReportMsg{Holder: parts.Holder(r.Holder), Epoch: r.Epoch}
	for _, c := range r.Changes {
		msg.Changes = append(msg.Changes, parts.Change{Key: parts.Key(c.Key), Tokens: c.Tokens})
	}
	return msg
}

// setOrdered takes in which upstreams carry out orders of one entry; those that no longer do get work again. The
// lock is held.
func (d *Controller) setOrdered(now time.Time, entry string, ids []string) {
	for _, id := range d.ordered[entry] {
		if !slices.Contains(ids, id) {
			d.fleet.Update(now, fleet.OrderedMsg{ID: ident.UpstreamID(id), Until: now})
		}
	}
	for _, id := range ids {
		d.fleet.Update(now, fleet.OrderedMsg{ID: ident.UpstreamID(id), Until: now.Add(orderedTime)})
	}
	d.ordered[entry] = ids
}
