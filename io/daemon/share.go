package daemon

import (
	"slices"
	"time"

	"cicadavalve/core/conf"
	"cicadavalve/core/watch"
	"cicadavalve/io/gossip"
	"cicadavalve/io/port"
)

const (
	// maxSharedRecord bounds a record that is passed on, in bytes. Longer ones, such as configurations, are read by each entry.
	maxSharedRecord = 700
	// maxSharedSize bounds the records that a heartbeat passes on of one topic, in bytes.
	maxSharedSize = 8 << 10
	// shareBeats is how many intervals of heartbeats a record is passed on for.
	shareBeats = 1.5
)

// marks lists the read positions of the topics that this entry reads for all, with the records read lately that changed something. It lists
// none if there are too few entries to share the reads; the lock is held.
func (d *Controller) marks(now time.Time, entries int) (marks []gossip.Mark) {
	if !watch.Shared(entries) {
		return nil
	}
	span := time.Duration(shareBeats * float64(beatInterval(entries)))
	for _, f := range d.feeds {
		own, ok := f.watch.OwnMark()
		if !ok || own.Era != d.era || !d.isReader(now, f.topic) {
			continue
		}
		mark := gossip.Mark{Topic: int(f.topic), Next: own.Next, Changed: own.Changed, AgeMS: int(now.Sub(own.At).Milliseconds())}
		from, records := f.watch.Share(now.Add(-span), maxSharedSize)
		mark.Share = &gossip.Share{From: from}
		for _, r := range records {
			mark.Share.Records = append(mark.Share.Records, gossip.Record{Offset: r.Offset, Content: r.Content})
		}
		marks = append(marks, mark)
	}
	return marks
}

// applyMarks applies the read positions of another entry in an era of the store, which arrived at the given time at the
// earliest, and the records that came with them. It wakes feeds that must catch up by themselves; the lock is held.
func (d *Controller) applyMarks(now, arrived time.Time, era int64, marks []gossip.Mark) {
	if len(marks) > 0 {
		d.observeEra(now, era)
	}
	for _, mark := range marks {
		for _, f := range d.feeds {
			if int(f.topic) != mark.Topic {
				continue
			}
			d.applyMark(now, f, watch.Mark{Era: era, Next: mark.Next, Changed: mark.Changed, At: arrived.Add(-time.Duration(mark.AgeMS) * time.Millisecond)}, mark.Share)
			if f.watch.Due(false).IsZero() {
				signal(f.wake)
			}
		}
	}
}

func (d *Controller) applyMark(now time.Time, f *feed, mark watch.Mark, share *gossip.Share) {
	mark.From = mark.Changed
	if share != nil {
		mark.From = share.From
		for _, r := range share.Records {
			mark.Records = append(mark.Records, watch.Record{Offset: r.Offset, Content: r.Content})
		}
	}
	before := f.watch.KnownAt()
	for _, cmd := range f.watch.Update(watch.MarkMsg{Mark: mark}) {
		if apply, ok := cmd.(watch.ApplyCmd); ok {
			d.applyShared(now, before, f, apply.Records)
		}
	}
}

// applyShared applies records that another entry has read, and that were written after a time; the lock is held.
func (d *Controller) applyShared(now, since time.Time, f *feed, shared []watch.Record) {
	r := records{since: since, failedAt: f.failedAt}
	var faults []error
	for _, record := range shared {
		event, err := d.decode(f.topic, record.Content)
		if event != nil {
			r.events = append(r.events, event)
			d.isChange(f, event)
		}
		if err != nil {
			faults = append(faults, err)
		}
	}
	f.sharedFaults.report(faults)
	d.applyEvents(now, f, r)
}

// applyRead applies records that this entry has read, which were asked for at a time. It leaves out those that other entries have passed on
// meanwhile: what was applied since may be newer.
func (d *Controller) applyRead(now, sentAt time.Time, f *feed, batch port.Batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeEra(now, batch.Era)
	if d.era > batch.Era {
		return
	}
	fresh := batch.Records
	if f.watch.Era() == batch.Era {
		fresh = slices.DeleteFunc(slices.Clone(fresh), func(r port.Record) bool { return r.Offset < f.watch.Next() })
	}
	r := records{since: f.watch.KnownAt(), failedAt: f.failedAt}
	for _, record := range fresh {
		if record.Event != nil {
			r.events = append(r.events, record.Event)
		}
	}
	d.applyEvents(now, f, r)
	// A store that fails may end a wait in vain without a record that was written meanwhile.
	at := sentAt
	if batch.Next < batch.End {
		// What is still unread may be as old as what has just been read.
		at = f.watch.KnownAt()
	}
	changed, shared := d.changes(f, fresh)
	f.watch.Update(watch.ReadMsg{Era: batch.Era, Next: batch.Next, At: at, Changed: changed, Records: shared})
}

// changes reports whether records that were read contain more than unchanged records of known upstreams. It returns those that do, unless one
// of them is too long to be passed on. The lock is held.
func (d *Controller) changes(f *feed, read []port.Record) (changed bool, shared []watch.Record) {
	complete := true
	for _, r := range read {
		if r.Event == nil || !d.isChange(f, r.Event) {
			continue
		}
		changed = true
		complete = complete && len(r.Content) <= maxSharedRecord
		shared = append(shared, watch.Record{Offset: r.Offset, Content: r.Content})
	}
	if !complete {
		return changed, nil
	}
	return changed, shared
}

// noteListed remembers the events of a snapshot and reports whether any changes something.
func (d *Controller) noteListed(f *feed, events []any) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, event := range events {
		changed = d.isChange(f, event) || changed
	}
	return changed
}

// isChange reports whether the event of a record changes anything, and remembers it. A record of an upstream that is still cold always
// does, as does one of another incarnation than the one in use; the lock is held.
func (d *Controller) isChange(f *feed, event any) (changes bool) {
	switch e := event.(type) {
	case port.UpstreamEvent:
		old, known := f.listed[e.Upstream.ID]
		f.listed[e.Upstream.ID] = e.Upstream
		return !known || e.Upstream.ColdLeft > 0 || !old.EqualExceptCold(e.Upstream) || d.usesOther(e.Upstream)
	case port.UpstreamGoneEvent:
		_, known := f.listed[e.ID]
		delete(f.listed, e.ID)
		return known
	case port.UpstreamUnreadableEvent:
		_, known := f.listed[e.ID]
		delete(f.listed, e.ID)
		return known
	}
	return true
}

// usesOther reports whether another incarnation of a listed upstream is in use; the lock is held.
func (d *Controller) usesOther(u conf.Upstream) bool {
	used, known := d.fleet.Get(u.ID)
	return known && used.Born != u.Born
}
