package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/io/seam"
)

const (
	// operatorWait is how long a read waits for a record of the operator; a connection that went silent
	// is found after it, well within the time for a configuration.
	operatorWait = 1000 * time.Millisecond
	// listInterval is the pace of the reads of the upstreams; three of them fit the time in which a leaving
	// upstream must get no more work.
	listInterval = 600 * time.Millisecond
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
	// wait is how long a read waits for a record, pace the least time between two reads.
	wait, pace time.Duration
	next       int64
	lost       bool
	failures   int
}

// run reads until the context ends.
func (f *feed) run(ctx context.Context) {
	f.next = -1
	for ctx.Err() == nil {
		begun := time.Now()
		err := f.step(ctx)
		rest := f.pace - time.Since(begun)
		if err != nil {
			rest = feedPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(rest, 0)):
		}
	}
}

func (f *feed) step(parent context.Context) (err error) {
	limit := callTime
	if f.failures > 0 {
		limit = slowCallTime
	}
	ctx, cancel := context.WithTimeout(parent, f.wait+limit)
	defer cancel()
	var batch seam.Batch
	whole := f.next < 0
	if whole {
		batch, err = f.d.store.Snapshot(ctx, f.topic)
	} else {
		batch, err = f.d.store.Read(ctx, f.topic, f.next, f.wait)
	}
	if errors.Is(err, seam.ErrTrimmed) {
		f.d.log.Info("feed_trimmed", "topic", f.topic, "offset", f.next)
		f.next = -1
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
	f.next = batch.Next
	f.d.desk.take(time.Now(), f.topic, batch.Events, whole)
	return nil
}

func (f *feed) fail(err error) {
	f.failures++
	if f.lost {
		return
	}
	f.lost = true
	f.d.log.Warn("store_lost", "topic", f.topic, "error", err)
	if f.topic == seam.Upstreams {
		f.d.desk.update(fleet.ListLostMsg{})
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
		f.d.desk.update(fleet.ListBackMsg{})
	}
}

// update hands a message to the view of the upstreams.
func (d *Desk) update(msg ident.Msg) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.perform(d.fleet.Update(time.Now(), msg))
}

// take hands decoded records to the deciders; whole tells that they are all there are.
func (d *Desk) take(now time.Time, topic seam.Topic, events []any, whole bool) {
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

func (d *Desk) takeList(now time.Time, events []any) {
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

func (d *Desk) noteUpstream(now time.Time, u conf.Upstream) {
	old, known := d.fleet.Get(u.ID)
	if !known || old.Born != u.Born || old.Draining != u.Draining {
		d.log.Info("upstream_changed", "upstream", u.ID, "service", u.Service, "address", u.Address, "draining", u.Draining,
			"cold_left", u.ColdLeft, "born", u.Born)
	}
	d.perform(d.fleet.Update(now, fleet.ListedMsg{Upstream: u}))
}

// accept puts a configuration in force unless it is older than the one in force.
func (d *Desk) accept(data conf.Data) {
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
func (d *Desk) settleLife() {
	if d.mesh.Self().Life == mesh.Starting && d.listed && d.set.Load() != nil {
		d.mesh.SetLife(mesh.Ready)
		d.log.Info("ready", "version", d.set.Load().Version())
	}
}
