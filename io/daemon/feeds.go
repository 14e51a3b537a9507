package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/mesh"
	"cicadavalve/core/place"
	"cicadavalve/core/watch"
	"cicadavalve/io/clock"
	"cicadavalve/io/port"
)

const (
	// operatorWait is how long a read waits for a record of the operator. What the read shows counts from when it was sent, so
	// that the positions that other entries hear are at least this old.
	operatorWait = 500 * time.Millisecond
	// listInterval is the interval between reads of the upstreams: three of them fit the time within which a leaving
	// upstream must stop getting requests.
	listInterval = 600 * time.Millisecond
	// operatorMaxAge and listMaxAge are how old a position reported by other entries may be before this entry reads the
	// topic itself: a few heartbeats and, together with the read, well within the time limits for a configuration
	// and for a leaving upstream.
	operatorMaxAge = 1500 * time.Millisecond
	listMaxAge     = 2 * listInterval
	// callTimeout bounds a call to the store, in addition to its wait.
	callTimeout = 700 * time.Millisecond
	// slowCallTimeout replaces callTimeout after a failed call, so that a slow store can still be read.
	slowCallTimeout = 2 * time.Second
	// retryDelay is the delay after a failed announcement, and between reads of a store that is behind what other entries have read.
	retryDelay = 150 * time.Millisecond
)

// feed reads one topic of the store.
type feed struct {
	d     *Daemon
	topic port.Topic
	// wait is how long a read waits for a record while this entry reads the topic for all entries.
	wait time.Duration
	// watch schedules the reads; the controller's lock guards it.
	watch *watch.Model
	// wake is signalled when a read has become due earlier than scheduled.
	wake chan struct{}
	// snapshotEra is the era of the last snapshot, -1 before the first.
	snapshotEra int64
	// listed holds the newest record of each upstream, to find out whether a record changes anything.
	listed   map[ident.UpstreamID]conf.Upstream
	lost     bool
	failures int
	faults   *faultLog
	// sharedFaults reports those of records that other entries have read; the controller's lock guards it, listed and failedAt.
	sharedFaults *faultLog
	// failedAt is when the last read was sent that failed by no fault of the entries, zero before the first.
	failedAt time.Time
}

func newFeed(d *Daemon, topic port.Topic, wait, interval, maxAge time.Duration) *feed {
	f := &feed{
		d: d, topic: topic, wait: wait, watch: watch.NewModel(interval, maxAge), wake: make(chan struct{}, 1),
		snapshotEra: -1, listed: map[ident.UpstreamID]conf.Upstream{}, faults: newFaultLog(d.log, topic), sharedFaults: newFaultLog(d.log, topic),
	}
	d.controller.feeds = append(d.controller.feeds, f)
	return f
}

// run reads until the context ends.
func (f *feed) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := clock.Now()
		due, wait, next := f.d.controller.due(began, f)
		delay := clock.Until(due)
		if delay <= 0 {
			if f.step(ctx, next, wait) != nil {
				delay = watch.RetryDelay(f.failures, rand.Float64())
			} else if _, _, now := f.d.controller.due(clock.Now(), f); now == next {
				// The store may be behind what other entries have read there.
				pause(ctx, retryDelay-clock.Since(began))
			}
		}
		if delay <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-time.After(delay):
		}
	}
}

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// due returns when a feed is to read next, how long the read waits for a record, and the offset; a negative offset
// means a snapshot.
func (d *Controller) due(now time.Time, f *feed) (due time.Time, wait time.Duration, next int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reader := d.isReader(now, f.topic)
	if reader {
		wait = f.wait
	}
	return f.watch.Due(reader), wait, f.watch.Next()
}

// isReader reports whether this entry reads a topic on behalf of all entries; the lock is held. An entry that can't have received
// the heartbeats of a large fleet yet reads for itself alone: else all that start together would read for each other.
func (d *Controller) isReader(now time.Time, topic port.Topic) bool {
	if d.receivesTooFew(now) {
		return false
	}
	return watch.IsReader(strconv.Itoa(int(topic)), d.mesh.Self().ID, mesh.IDs(d.mesh.Alive(now)))
}

func (f *feed) step(parent context.Context, next int64, wait time.Duration) (err error) {
	timeout := callTimeout
	if f.failures > 0 {
		timeout = slowCallTimeout
	}
	ctx, cancel := context.WithTimeout(parent, wait+timeout)
	defer cancel()
	var batch port.Batch
	sentAt, snapshot := clock.Now(), next < 0
	if snapshot {
		batch, err = f.d.store.Snapshot(parent, f.topic, timeout)
	} else {
		batch, err = f.d.store.Read(ctx, f.topic, next, wait)
	}
	if errors.Is(err, port.ErrTrimmed) {
		f.d.log.Info("feed_trimmed", "topic", f.topic, "offset", next, "era", batch.Era)
		f.updateWatch(batch.Era, watch.TrimmedMsg{Era: batch.Era})
		return nil
	}
	if err != nil {
		if parent.Err() == nil {
			if !errors.Is(err, port.ErrOverRate) {
				f.setFailedAt(sentAt)
			}
			f.recordFailure(err)
		}
		return err
	}
	f.recordSuccess()
	f.faults.report(batch.Faults)
	if snapshot {
		f.applySnapshot(clock.Now(), sentAt, batch)
	} else {
		f.d.controller.applyRead(clock.Now(), sentAt, f, batch)
	}
	return nil
}

// applySnapshot applies the newest records of the topic, which were asked for at a time.
func (f *feed) applySnapshot(now, sentAt time.Time, batch port.Batch) {
	if f.era() > batch.Era {
		return
	}
	f.updateWatch(batch.Era, nil)
	f.d.controller.applyRecords(now, f, records{events: batch.Events, snapshot: true})
	// In a new era, orders that were lost are written again.
	if f.topic == port.Operator && f.snapshotEra == batch.Era {
		f.d.controller.takeBackZones(now, batch.Events)
		// An order that can't be read ends none.
		if len(batch.Faults) == 0 {
			f.d.controller.endRollouts(now, batch.Events)
		}
	}
	f.snapshotEra = batch.Era
	f.updateWatch(batch.Era, watch.ReadMsg{Era: batch.Era, Next: batch.Next, At: sentAt, Changed: f.d.controller.noteListed(f, batch.Events), Snapshot: true})
}

// records are the records of one read.
type records struct {
	events []any
	// snapshot is set if they are the newest of every key.
	snapshot bool
	// since is the earliest time at which those that are new to this entry can have been written, zero if that is unknown.
	since time.Time
	// failedAt is when the last failed read of their topic was sent, zero before the first.
	failedAt time.Time
}

func (f *feed) setFailedAt(at time.Time) {
	f.d.controller.mu.Lock()
	defer f.d.controller.mu.Unlock()
	f.failedAt = at
}

// era returns the newest era of the store that is known.
func (f *feed) era() int64 {
	f.d.controller.mu.Lock()
	defer f.d.controller.mu.Unlock()
	return f.d.controller.era
}

// knownAt returns the latest time as of which this entry knows all changes of the topic, zero before its first read.
func (f *feed) knownAt() time.Time {
	f.d.controller.mu.Lock()
	defer f.d.controller.mu.Unlock()
	return f.watch.KnownAt()
}

// updateWatch applies what an answer in an era of the store said; msg is nil if that was the era alone.
func (f *feed) updateWatch(era int64, msg ident.Msg) {
	f.d.controller.mu.Lock()
	defer f.d.controller.mu.Unlock()
	f.d.controller.observeEra(clock.Now(), era)
	f.watch.Update(msg)
}

func (f *feed) recordFailure(err error) {
	f.failures++
	if f.lost {
		return
	}
	f.lost = true
	f.d.log.Warn("store_lost", "topic", f.topic, "error", err)
	if f.topic == port.Upstreams {
		f.d.controller.updateFleet(fleet.ListLostMsg{})
	}
}

func (f *feed) recordSuccess() {
	f.failures = 0
	if !f.lost {
		return
	}
	f.lost = false
	f.d.log.Info("store_regained", "topic", f.topic)
	if f.topic == port.Upstreams {
		f.d.controller.updateFleet(fleet.ListRestoredMsg{})
	}
}

// updateFleet applies a message to the fleet model.
func (d *Controller) updateFleet(msg ident.Msg) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch msg.(type) {
	case fleet.ListLostMsg:
		d.listLost = true
	case fleet.ListRestoredMsg:
		d.listLost = false
	}
	d.perform(d.fleet.Update(clock.Now(), msg))
}

// applyRecords applies decoded records that this entry has read to the models.
func (d *Controller) applyRecords(now time.Time, f *feed, r records) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.since, r.failedAt = f.watch.KnownAt(), f.failedAt
	d.applyEvents(now, f, r)
}

// applyEvents applies decoded records to the models; the lock is held.
func (d *Controller) applyEvents(now time.Time, f *feed, r records) {
	if f.topic == port.Upstreams && r.snapshot {
		d.applyUpstreamList(now, r.events)
		return
	}
	for _, event := range r.events {
		switch e := event.(type) {
		case port.ConfigEvent:
			d.applyConfig(e.Data)
		case port.VersionEvent:
			d.applyTarget(now, e, r)
		case port.ZoneEvent:
			d.log.Info("zone_changed", "zone", e.Zone, "avoided", e.Avoided)
			d.perform(d.fleet.Update(now, fleet.AvoidMsg{Zone: e.Zone, Avoided: e.Avoided}))
		case port.RolloutEvent:
			d.applyRollout(now, r.since, e)
		case port.UpstreamEvent:
			d.applyUpstream(now, e.Upstream)
		case port.UpstreamGoneEvent:
			d.perform(d.fleet.Update(now, fleet.RemovedMsg{ID: e.ID}))
		case port.UpstreamUnreadableEvent:
			d.perform(d.fleet.Update(now, fleet.UnreadableMsg{ID: e.ID}))
		}
	}
	d.updateReadiness(now)
}

// applyTarget applies an announced version of weights unless it is known; the lock is held.
func (d *Controller) applyTarget(now time.Time, e port.VersionEvent, r records) {
	if e.Version <= d.targets[e.Model].version {
		return
	}
	ready := d.startedAt
	if r.failedAt.After(ready) {
		ready = r.failedAt
	}
	d.targets[e.Model] = target{e.Version, r.since}
	d.place.Update(now, place.TargetMsg{Model: e.Model, Version: e.Version, Since: r.since, Ready: ready})
	attrs := []any{"model", e.Model, "version", e.Version}
	if !r.since.IsZero() {
		attrs = append(attrs, "max_age", now.Sub(r.since))
	}
	d.log.Info("weights_named", attrs...)
}

// takeBackZones takes the availability zones back into use that a snapshot of the operator's records does not take out.
func (d *Controller) takeBackZones(now time.Time, events []any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, zone := range d.fleet.AvoidedZones() {
		if !slices.ContainsFunc(events, func(event any) bool { return event == port.ZoneEvent{Zone: zone, Avoided: true} }) {
			d.log.Info("zone_changed", "zone", zone, "avoided", false)
			d.perform(d.fleet.Update(now, fleet.AvoidMsg{Zone: zone}))
		}
	}
}

func (d *Controller) applyUpstreamList(now time.Time, events []any) {
	var listed []conf.Upstream
	var unreadable []ident.UpstreamID
	for _, event := range events {
		switch e := event.(type) {
		case port.UpstreamEvent:
			listed = append(listed, e.Upstream)
		case port.UpstreamUnreadableEvent:
			unreadable = append(unreadable, e.ID)
		}
	}
	d.log.Info("upstreams_listed", "count", len(listed), "unreadable", len(unreadable))
	d.perform(d.fleet.Update(now, fleet.SnapshotMsg{Upstreams: listed, Unreadable: unreadable}))
	for _, u := range listed {
		d.seeRelease(now, u)
		d.observeRecord(now, u)
	}
	d.upstreamsListed = true
	d.confirmRecalled(now)
	d.handleEvidence(now)
	d.updateReadiness(now)
}

func (d *Controller) applyUpstream(now time.Time, u conf.Upstream) {
	old, known := d.fleet.Get(u.ID)
	if !known || old.Born != u.Born || old.Draining != u.Draining {
		d.log.Info("upstream_changed", "upstream", u.ID, "service", u.Service, "address", u.Address, "draining", u.Draining,
			"cold_left", u.ColdLeft, "born", u.Born)
	}
	if known && old.Born < u.Born && !old.Draining {
		d.replaced.Set(u.ID, old.Born)
	}
	d.seeRelease(now, u)
	d.perform(d.fleet.Update(now, fleet.ListedMsg{Upstream: u}))
	d.applyEarly(now, u.ID, u.Born)
	if !known || old.Born != u.Born {
		d.observeRecord(now, u)
	}
}

// applyConfig puts a configuration in force unless its version is at most that of the one in force.
func (d *Controller) applyConfig(data conf.Data) {
	if old := d.set.Load(); old != nil && old.Version() >= data.Version {
		return
	}
	set := conf.NewSet(data)
	d.set.Store(set)
	d.place.SetConfig(set)
	if d.onConfig != nil {
		d.onConfig(set)
	}
	d.log.Info("configuration_in_force", "version", data.Version, "routes", len(data.Routes), "services", len(data.Services), "shared_scope", set.SharedScope())
}

// maxVerdictWait is how long an entry that is otherwise ready waits for the verdicts: it can't tell crashing requests
// without them, but serves all others.
const maxVerdictWait = 3 * time.Second

// updateReadiness makes a starting entry ready once it has a configuration, the list of the upstreams, its part of the
// retry budget and, within maxVerdictWait of its start, the verdicts; the lock is held. It knows its part soon also
// without the store.
func (d *Controller) updateReadiness(now time.Time) {
	if d.mesh.Self().State != mesh.Starting {
		return
	}
	hasVerdicts := d.digester.Load() != nil || now.Sub(d.startedAt) >= maxVerdictWait
	_, hasPart := d.countSharers(now)
	if d.upstreamsListed && d.set.Load() != nil && hasVerdicts && hasPart {
		d.mesh.SetState(mesh.Ready)
		d.log.Info("ready", "version", d.set.Load().Version())
	}
}
