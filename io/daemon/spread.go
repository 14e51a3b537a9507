package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
)

const (
	// passShare is the fraction of the interval of heartbeats for which a relay gathers them before it passes them on.
	passShare = 0.25
	// maxHeld is how long a relay may hold a message. Older ones are dropped.
	maxHeld = time.Second
	// maxQueued bounds the messages that wait to be passed on: a few heartbeats of each entry of the largest fleet.
	maxQueued = 4096
)

// passDelay is how long a relay gathers heartbeats in a fleet of a number of entries.
func passDelay(entries int) time.Duration {
	return time.Duration(passShare * float64(beatInterval(entries)))
}

// queued is a message that waits to be passed on.
type queued struct {
	content []byte
	// sentAt is the earliest time at which its sender can have sent it.
	sentAt time.Time
}

// forwarder passes messages on to the members of cells.
type forwarder struct {
	d      *Daemon
	mu     sync.Mutex
	queues map[mesh.Cell][]queued
	count  int
	// wake is signalled when the first message waits.
	wake chan struct{}
}

func newForwarder(d *Daemon) *forwarder {
	return &forwarder{d: d, queues: map[mesh.Cell][]queued{}, wake: make(chan struct{}, 1)}
}

// add queues a message for the members of a cell.
func (f *forwarder) add(cell mesh.Cell, message queued) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count >= maxQueued {
		f.d.log.Debug("message_not_passed_on", "cell", cell)
		return
	}
	f.count++
	f.queues[cell] = append(f.queues[cell], message)
	signal(f.wake)
}

// take returns what waits.
func (f *forwarder) take() (queues map[mesh.Cell][]queued) {
	f.mu.Lock()
	defer f.mu.Unlock()
	queues, f.queues, f.count = f.queues, map[mesh.Cell][]queued{}, 0
	return queues
}

// run passes messages on until the context ends.
func (f *forwarder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		pause(ctx, passDelay(f.d.controller.countAlive(clock.Now())))
		for cell, messages := range f.take() {
			f.pass(ctx, cell, messages)
		}
	}
}

// pass sends messages to the members of a cell.
func (f *forwarder) pass(ctx context.Context, cell mesh.Cell, messages []queued) {
	now := clock.Now()
	var passed []gossip.Passed
	for _, m := range messages {
		if held := now.Sub(m.sentAt); held <= maxHeld {
			passed = append(passed, gossip.Passed{Content: m.content, HeldMS: int(held.Milliseconds())})
		}
	}
	if len(passed) == 0 {
		return
	}
	datagrams, err := gossip.EncodeEnvelopes(f.d.self.ID, nil, passed)
	if err != nil {
		f.d.log.Warn("envelope_not_encoded", "error", err)
		return
	}
	members := f.d.controller.cellMembers(now, cell)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for group := range slices.Chunk(members, sendBurst) {
		if err := f.d.socket.Write(group, datagrams); err != nil {
			f.d.log.Debug("envelope_not_sent", "error", err)
		}
		pause(ctx, maxSendGap)
	}
}

// receiveEnvelope applies the messages of an envelope and passes them on if the envelope names a cell.
func (d *Daemon) receiveEnvelope(envelope gossip.Message) {
	now := clock.Now()
	arrived := d.controller.arrivedSince(now)
	for _, passed := range envelope.Passed {
		m, fault, err := gossip.Decode(passed.Content)
		if err != nil {
			d.log.Debug("datagram_unreadable", "error", err)
			continue
		}
		if fault != nil {
			d.log.Debug("datagram_unreadable", "error", fault)
		}
		if m.ID == d.self.ID || len(m.Passed) > 0 {
			continue
		}
		sentAt := arrived.Add(-time.Duration(max(passed.HeldMS, 0)) * time.Millisecond)
		if now.Sub(sentAt) > maxHeld {
			continue
		}
		d.receiveMessage(now, sentAt, m)
		if c := envelope.Cell; c != nil {
			if cell := (mesh.Cell{Zone: ident.Zone(c.Zone), Index: c.Index, Count: c.Count}); cell.Valid() {
				d.forwarder.add(cell, queued{passed.Content, sentAt})
			}
		}
	}
}

// arrivedSince returns the earliest time at which a message that is handled now can have arrived.
func (d *Controller) arrivedSince(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stall.ArrivedSince(now)
}

func (d *Controller) countAlive(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.mesh.Alive(now))
}

// cellMembers returns the entries of a cell to which messages are passed on.
func (d *Controller) cellMembers(now time.Time, cell mesh.Cell) (ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mesh.Members(now, cell)
}
