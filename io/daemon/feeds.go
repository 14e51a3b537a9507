package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/watch"
	"cicadavalve/io/gossip"
	"cicadavalve/io/seam"
)

const (
	// operatorWait is how long a read waits for a record of the operator; a connection that went silent
	// is found after it, well within the time for a configuration.
	operatorWait = 1000 * time.Millisecond
	// listInterval is the pace of the reads of the upstreams; three of them fit the time in which a leaving
	// upstream must get no more work.
	listInterval = 600 * time.Millisecond
	// operatorPatience and listPatience are how long an entry that relies on others goes without news of a topic: a few
	// heartbeats, and with a read well within the times for a configuration and for a leaving upstream.
	operatorPatience = 1500 * time.Millisecond
	listPatience     = 2 * listInterval
	// callTime bounds a call to the store besides its wait.
	callTime = 700 * time.Millisecond
	// slowCallTime bounds a call after others ran out of time, so that a slow store is still read.
	slowCallTime = 2 * time.Second
	// feedPause is the pause after a failed read.
	feedPause = 150 * time.Millisecond
)

// feed reads one topic of the store.
type feed struct {
	d     *Daemon
	topic seam.Topic
	// wait is how long a read waits for a record while this entry is a reader of the topic.
	wait time.Duration
	// watch decides when to read; the controller's lock guards it.
	watch *watch.Model
	// wake tells that a read may be due earlier than thought.
	wake chan struct{}
	// listed holds the newest record of each upstream that was read.
	listed   map[ident.UpstreamID]conf.Upstream
	lost     bool
	failures int
}

func newFeed(d *Daemon, topic seam.Topic, wait, pace, patience time.Duration) *feed {
	f := &feed{
		d: d, topic: topic, wait: wait, watch: watch.NewModel(pace, patience), wake: make(chan struct{}, 1),
		listed: map[ident.UpstreamID]conf.Upstream{},
	}
	d.controller.feeds = append(d.controller.feeds, f)
	return f
}

// run reads until the context ends.
func (f *feed) run(ctx context.Context) {
	for ctx.Err() == nil {
		due, wait, next := f.d.controller.due(time.Now(), f)
		rest := time.Until(due)
		if rest <= 0 && f.step(ctx, next, wait) != nil {
			rest = feedPause
		}
		if rest <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-time.After(rest):
		}
	}
}

// due tells when a feed reads, how long it then waits for a record, and the offset.
func (d *Controller) due(now time.Time, f *feed) (due time.Time, wait time.Duration, next int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reader := d.isReader(now, f.topic)
	if reader {
		wait = f.wait
	}
	return f.watch.Due(reader), wait, f.watch.Next()
}

// isReader tells whether this entry reads a topic for all; the lock is held.
func (d *Controller) isReader(now time.Time, topic seam.Topic) bool {
	return watch.IsReader(strconv.Itoa(int(topic)), d.mesh.Self().ID, mesh.IDs(d.mesh.Alive(now)))
}

// marks lists how far this entry has read the topics that it reads for all; the lock is held.
func (d *Controller) marks(now time.Time, entries int) (marks []gossip.Mark) {
	if !watch.Shared(entries) {
		return nil
	}
	for _, f := range d.feeds {
		if own, ok := f.watch.Own(); ok && d.isReader(now, f.topic) {
			marks = append(marks, gossip.Mark{Topic: int(f.topic), Next: own.Next, Changed: own.Changed, AgeMS: int(now.Sub(own.At).Milliseconds())})
		}
	}
	return marks
}

// hearMarks takes in how far another entry has read; the lock is held.
func (d *Controller) hearMarks(now time.Time, marks []gossip.Mark) {
	for _, mark := range marks {
		for _, f := range d.feeds {
			if int(f.topic) != mark.Topic {
				continue
			}
			at := now.Add(-time.Duration(mark.AgeMS) * time.Millisecond)
			f.watch.Update(watch.HeardMsg{Mark: watch.Mark{Next: mark.Next, Changed: mark.Changed, At: at}})
			if f.watch.Due(false).IsZero() {
				select {
				case f.wake <- struct{}{}:
				default:
				}
			}
		}
	}
}

func (f *feed) step(parent context.Context, next int64, wait time.Duration) (err error) {
	limit := callTime
	if f.failures > 0 {
		limit = slowCallTime
	}
	ctx, cancel := context.WithTimeout(parent, wait+limit)
	defer cancel()
	var batch seam.Batch
	whole := next < 0
	if whole {
		batch, err = f.d.store.Snapshot(ctx, f.topic)
	} else {
		batch, err = f.d.store.Read(ctx, f.topic, next, wait)
	}
	if errors.Is(err, seam.ErrTrimmed) {
		f.d.log.Info("feed_trimmed", "topic", f.topic, "offset", next)
		f.note(watch.TrimmedMsg{})
		return nil
	}
	if err != nil {
		if parent.Err() == nil {
			f.fail(err)
		}
		return err
	}
	f.regain()
	for _, fault := range batch.Faults {
		f.d.log.Warn("record_unreadable", "topic", f.topic, "error", fault)
	}
	now := time.Now()
	f.d.controller.take(now, f.topic, batch.Events, whole)
	f.note(watch.ReadMsg{Next: batch.Next, At: now, Mattered: f.matters(batch), Whole: whole})
	return nil
}

func (f *feed) note(msg ident.Msg) {
	f.d.controller.mu.Lock()
	defer f.d.controller.mu.Unlock()
	f.watch.Update(msg)
}

// matters tells whether records say more than that upstreams are still there.
func (f *feed) matters(batch seam.Batch) (matters bool) {
	for _, event := range batch.Events {
		switch e := event.(type) {
		case seam.UpstreamEvent:
			old, known := f.listed[e.Upstream.ID]
			matters = matters || !known || e.Upstream.ColdLeft > 0 || !old.Same(e.Upstream)
			f.listed[e.Upstream.ID] = e.Upstream
		case seam.UpstreamGoneEvent:
			_, known := f.listed[e.ID]
			matters = matters || known
			delete(f.listed, e.ID)
		default:
			matters = true
		}
	}
	return matters
}

func (f *feed) fail(err error) {
	f.failures++
	if f.lost {
		return
	}
	f.lost = true
	f.d.log.Warn("store_lost", "topic", f.topic, "error", err)
	if f.topic == seam.Upstreams {
		f.d.controller.update(fleet.ListLostMsg{})
	}
}

func (f *feed) regain() {
	f.failures = 0
	if !f.lost {
		return
	}
	f.lost = false
	f.d.log.Info("store_regained", "topic", f.topic)
	if f.topic == seam.Upstreams {
		f.d.controller.update(fleet.ListBackMsg{})
	}
}

// update hands a message to the view of the upstreams.
func (d *Controller) update(msg ident.Msg) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.fleet.Update(time.Now(), msg))
}

// take hands decoded records to the deciders; whole tells that they are all there are.
func (d *Controller) take(now time.Time, topic seam.Topic, events []any, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if topic == seam.Upstreams && whole {
		d.takeList(now, events)
		return
	}
	for _, event := range events {
		switch e := event.(type) {
		case seam.ConfigEvent:
			d.accept(e.Data)
		case seam.VersionEvent:
			d.log.Info("weights_named", "model", e.Model, "version", e.Version)
			d.place.Want(now, e.Model, e.Version, whole)
			d.wanted[e.Model] = max(d.wanted[e.Model], e.Version)
		case seam.ZoneEvent:
			d.log.Info("zone_changed", "zone", e.Zone, "avoided", e.Avoided)
			d.perform(d.fleet.Update(now, fleet.AvoidMsg{Zone: e.Zone, Avoided: e.Avoided}))
		case seam.RolloutEvent:
			// Rollouts to another release are not built; the operator sees that nothing moves.
			d.log.Warn("rollout_not_carried_out", "service", e.Service, "release", e.Release, "ended", e.Ended)
		case seam.UpstreamEvent:
			d.noteUpstream(now, e.Upstream)
		case seam.UpstreamGoneEvent:
			d.perform(d.fleet.Update(now, fleet.RemovedMsg{ID: e.ID}))
		}
	}
	d.settleLife()
}

func (d *Controller) takeList(now time.Time, events []any) {
	var listed []conf.Upstream
	for _, event := range events {
		if e, ok := event.(seam.UpstreamEvent); ok {
			listed = append(listed, e.Upstream)
		}
	}
	d.log.Info("upstreams_listed", "count", len(listed))
	d.perform(d.fleet.Update(now, fleet.SnapshotMsg{Upstreams: listed}))
	d.listed = true
	d.settleLife()
}

func (d *Controller) noteUpstream(now time.Time, u conf.Upstream) {
	old, known := d.fleet.Get(u.ID)
	if !known || old.Born != u.Born || old.Draining != u.Draining {
		d.log.Info("upstream_changed", "upstream", u.ID, "service", u.Service, "address", u.Address, "draining", u.Draining,
			"cold_left", u.ColdLeft, "born", u.Born)
	}
	d.perform(d.fleet.Update(now, fleet.ListedMsg{Upstream: u}))
}

// accept puts a configuration in force unless it is older than the one in force.
func (d *Controller) accept(data conf.Data) {
	if old := d.set.Load(); old != nil && old.Version() >= data.Version {
		return
	}
	set := conf.NewSet(data)
	d.set.Store(set)
	d.place.SetConfig(set)
	if d.onConfig != nil {
		d.onConfig(set)
	}
	d.log.Info("configuration_in_force", "version", data.Version, "routes", len(data.Routes), "services", len(data.Services))
}

// settleLife makes a starting entry ready once it knows what it needs.
func (d *Controller) settleLife() {
	if d.mesh.Self().Life == mesh.Starting && d.listed && d.set.Load() != nil {
		d.mesh.SetLife(mesh.Ready)
		d.log.Info("ready", "version", d.set.Load().Version())
	}
}
