package usage

import (
	"maps"
	"slices"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/times"
)

const (
	// checkpointInterval is the shortest time between two checkpoints.
	checkpointInterval = time.Second
	// minStoreDelay and maxStoreDelay bound the delay after a call to the store that failed: it doubles with each, since calls to the store are
	// limited in rate.
	minStoreDelay = 100 * time.Millisecond
	maxStoreDelay = time.Second
	// minReportDelay and maxReportDelay bound the delay before a report is repeated.
	minReportDelay = 250 * time.Millisecond
	maxReportDelay = time.Second
	// reportMargin is how long before it is due a report is not begun any more: a call takes some ms.
	reportMargin = 20 * time.Millisecond
	// maxDistance is by how many windows a record may be of another time and still count. What is further away is no window of this
	// configuration.
	maxDistance = 1 << 20
	// maxReporting bounds the calls to the provider that are under way.
	maxReporting = 2
	// clockMargin is by how much the clocks of two holders may differ when the age of a record is judged.
	clockMargin = time.Second
)

// report is the state of the report of one window.
type report struct {
	counts Counts
	// recorded is set if the record of the window is in the present era of the store. Without that, counts are those of the record that
	// an earlier era had.
	recorded bool
	// contradicted is set if the record of the present era differs from that of an earlier one. Nothing is reported then.
	contradicted bool
	accepted     bool
	// calling is set while a call is under way; the next one follows at nextAt at the earliest.
	calling  bool
	nextAt   time.Time
	failures int
}

// reporter is what the holder of the lease knows of the topic and of the reports.
type reporter struct {
	// token is that under which this entry acts, 0 if it does not.
	token int64
	// era is the newest known era of the store, -1 before the first answer; the offsets below are of that era.
	era int64
	// next is the offset after the last record read, -1 while the place from which to read is not known.
	next int64
	// caughtUp is set while next is the end of the topic as far as known.
	caughtUp bool
	// lookback is the number of records at the end of the topic that a new holder reads.
	lookback int64
	// seeking is set until the end of the topic is known. After that, skipped is set if earlier records were passed over, trimmed if they
	// were removed, until the first record is read.
	seeking, skipped, trimmed bool
	// hasEarlier is set once a record was read that was written before this entry started: the fleet has reported before.
	hasEarlier bool
	// certainFrom is the monotonic time from which on windows must end to be recorded anew: a record of an earlier one may have been lost.
	certainFrom time.Time
	// pending is set while a call to the store is under way; the next one follows at storeAt at the earliest. storeFailures counts the calls
	// that failed since the last append that was won.
	pending       bool
	storeAt       time.Time
	storeFailures int
	reports       map[int64]*report
	// savedAt is when the last checkpoint was sent.
	savedAt time.Time
	// callAt is when the provider may be called again.
	callAt time.Time
	// judged is the last window that was found accepted or missed, lastRecorded the last one with a record.
	judged, lastRecorded int64
	// takesOver is set from the beginning of a lease until the topic has been read.
	takesOver bool
	// late counts requests that were not reported since their counters arrived after the record of the window.
	late int64
}

func newReporter() reporter {
	return reporter{era: -1, next: -1, reports: map[int64]*report{}}
}

const (
	// minLookback is the number of records that a new holder reads beyond those that one holder writes.
	minLookback = 8
	// lookbackFactor is by how much more records are read if these don't reach back far enough.
	lookbackFactor = 4
	// maxCheckpoint bounds the counters of a checkpoint; the rest follows in the next one. A counter takes some 3 B.
	maxCheckpoint = 1 << 14
)

// lookbackRecords returns a number of records that usually reaches back beyond all windows that may still be reported: one checkpoint a
// second and one record a window.
func (m *Model) lookbackRecords() int64 {
	span := m.window + m.delay + clockMargin
	return minLookback + int64(span/checkpointInterval+span/m.window)
}

// LateCounts returns the number of requests that arrived after the record of their window.
func (m *Model) LateCounts() int64 { return m.reporter.late }

// enter discards what is known of the topic if an era is newer than the known one: the store has come back from a copy and may have lost
// records. Reports that were recorded before are kept, to be recorded once more with the same counts.
func (m *Model) enter(now time.Time, era int64) (current bool) {
	r := &m.reporter
	if era <= r.era {
		return era == r.era
	}
	if r.era >= 0 || era > 0 {
		from := now
		if r.era < 0 || !m.clock.Voted() {
			// A new process does not know when the store came back, and its clock may be behind that of the holder whose records were lost.
			from = now.Add(m.window)
		}
		r.doubtUntil(from)
		r.readAgain()
		for _, one := range r.reports {
			one.recorded = false
		}
	}
	r.era = era
	return true
}

// doubtUntil notes that windows that end until a monotonic time may have had a record that was lost.
func (r *reporter) doubtUntil(at time.Time) { r.certainFrom = times.Later(r.certainFrom, at) }

// readAgain requires that the topic be read again, from the first record that may concern an open window.
func (r *reporter) readAgain() { r.next, r.caughtUp = -1, false }

// report returns the calls that are due while this entry holds the lease.
func (m *Model) report(now, t time.Time, msg TickMsg) (cmds []ident.Cmd) {
	r := &m.reporter
	if !msg.Holds || msg.Token == 0 {
		r.token, r.caughtUp = 0, false
		return nil
	}
	if r.token != msg.Token {
		// Another holder may have written meanwhile.
		r.token, r.caughtUp, r.takesOver = msg.Token, false, true
	}
	if !r.pending && !now.Before(r.storeAt) {
		if cmd := m.storeCall(now, t); cmd != nil {
			r.pending = true
			cmds = append(cmds, cmd)
		}
	}
	cmds = append(cmds, m.calls(now, t)...)
	return append(cmds, m.judge(t)...)
}

// storeCall returns the next call to the store, nil if there is nothing to do.
func (m *Model) storeCall(now, t time.Time) ident.Cmd {
	r := &m.reporter
	switch {
	case r.next < 0:
		r.lookback = max(r.lookback, m.lookbackRecords())
		r.seeking, r.skipped, r.trimmed = true, false, false
		return ReadCmd{From: 0}
	case !r.caughtUp:
		return ReadCmd{From: r.next}
	}
	if window, counts, ok := m.nextRecord(t); ok {
		return AppendCmd{End: r.next, Token: r.token, Record: Record{At: t, Window: window, Counts: counts, Holder: m.self, Token: r.token}}
	}
	if now.Sub(r.savedAt) < checkpointInterval {
		return nil
	}
	r.savedAt = now
	if groups := m.unsaved(t); len(groups) > 0 {
		return AppendCmd{End: r.next, Token: r.token, Record: Record{At: t, Groups: groups}}
	}
	return nil
}

// unsaved returns the groups of windows without a record that have grown since the last checkpoint.
func (m *Model) unsaved(t time.Time) (groups []Group) {
	groups = m.groups.list(func(k key) bool {
		r, ok := m.reporter.reports[k.window]
		g := m.groups[k]
		return m.due(k.window).After(t) && (!ok || !r.recorded) && g.Counts.Sum() > g.saved
	})
	for i, counters := 0, 0; i < len(groups); i++ {
		if counters += len(groups[i].Counts); i > 0 && counters > maxCheckpoint {
			return groups[:i]
		}
	}
	return groups
}

// firstOpen returns the first window that may still be reported.
func (m *Model) firstOpen(t time.Time) int64 { return m.number(t.Add(-m.delay)) }

// nextRecord returns the oldest window whose counts are to be recorded now, with the counts.
func (m *Model) nextRecord(t time.Time) (window int64, counts Counts, ok bool) {
	for window = m.firstOpen(t); !m.end(window).Add(minSettle).After(t); window++ {
		known, has := m.reporter.reports[window]
		switch {
		case has && known.recorded, !m.due(window).After(t.Add(reportMargin)):
			continue
		case has:
			return window, known.counts, true
		case !m.isCertain(window), !m.isKnown(window):
			continue
		case t.Sub(m.end(window)) >= m.settleTime(), m.settled(window):
			return window, m.groups.sum(window), true
		}
	}
	return 0, nil, false
}

// isCertain reports whether a window can't have had a record that was lost.
func (m *Model) isCertain(window int64) bool {
	return m.end(window).After(m.clock.Time(m.reporter.certainFrom))
}

// isKnown reports whether this entry can have the counts of a window: it ran before the window ended, or it has received counters of requests or records of
// earlier reports.
func (m *Model) isKnown(window int64) bool {
	return m.end(window).After(m.clock.Time(m.start)) || m.reporter.hasEarlier || m.groups.has(window)
}

// applyRead applies records of the topic.
func (m *Model) applyRead(now time.Time, msg ReadMsg) {
	r, t := &m.reporter, m.clock.Time(now)
	r.pending = false
	if msg.Failed {
		r.delayStore(now)
		return
	}
	if before := r.era; !m.enter(now, msg.Era) || before >= 0 && before != r.era || msg.From != max(r.next, 0) {
		// The answer is of an earlier era, or the read was of offsets of an earlier one.
		return
	}
	if msg.Trimmed {
		m.applyTrimmed(now, msg)
		return
	}
	if first := msg.End - r.lookback; r.seeking && first > msg.From {
		r.next, r.seeking, r.skipped, r.trimmed = first, false, true, false
		return
	}
	r.seeking = false
	if m.missesOpen(now, t, msg) {
		return
	}
	implausible := false
	for _, record := range msg.Records {
		if ahead := record.Window - m.number(t); record.Counts != nil && (ahead < -maxDistance || ahead > maxDistance) {
			implausible = true
			continue
		}
		m.applyRecord(record)
	}
	if msg.Faulty || implausible {
		// The record that can't be read may be that of a window.
		r.doubtUntil(now)
	}
	r.next, r.caughtUp = msg.Next, msg.Next >= msg.End
}

// applyTrimmed goes on from the first record that is kept.
func (m *Model) applyTrimmed(now time.Time, msg ReadMsg) {
	r := &m.reporter
	switch {
	case msg.Next == 0 && msg.From == 0:
		// The topic does not exist yet.
		r.next, r.caughtUp, r.seeking = 0, true, false
	case r.seeking || r.skipped:
		r.next, r.trimmed = msg.Next, true
	default:
		// Records that this entry has not read were removed, or the topic ends before the known end.
		r.next, r.caughtUp = msg.Next, false
		r.doubtUntil(now)
	}
}

// missesOpen reports whether the first records read are too new to be all that concern windows that may still be reported, so that the
// read begins again further back. If there are no earlier ones, windows that may have had a record are not recorded anew.
func (m *Model) missesOpen(now, t time.Time, msg ReadMsg) (misses bool) {
	r := &m.reporter
	defer func() { r.skipped, r.trimmed = false, false }()
	oldest := t
	if len(msg.Records) > 0 {
		oldest = msg.Records[0].At
	}
	if oldest.Before(m.end(m.firstOpen(t)).Add(-m.window - clockMargin)) {
		return false
	}
	switch {
	case r.trimmed:
		r.doubtUntil(now.Add(min(oldest.Sub(t), 0) + clockMargin))
	case r.skipped:
		r.lookback *= lookbackFactor
		r.next = -1
		return true
	}
	return false
}

// applyRecord applies one record of the present era. Of several records of a window the first one counts.
func (m *Model) applyRecord(record Record) {
	r := &m.reporter
	r.hasEarlier = r.hasEarlier || record.At.Before(m.clock.Time(m.start))
	if record.Counts == nil {
		for _, g := range record.Groups {
			if ahead := g.Window - m.number(record.At); (g.Entry != m.self || g.Boot != m.boot) && ahead >= -maxDistance && ahead <= maxDistance {
				m.groups.merge(g)
			}
		}
		m.groups.save(record.Groups)
		return
	}
	r.lastRecorded = max(r.lastRecorded, record.Window)
	known, ok := r.reports[record.Window]
	switch {
	case !ok:
		r.reports[record.Window] = &report{counts: maps.Clone(record.Counts), recorded: true}
	case !known.recorded:
		known.recorded = true
		known.contradicted = !maps.Equal(known.counts, record.Counts)
	}
}

// applyAppended applies the outcome of an append. After a failure the topic is read: the record may have been appended all the same, and
// another holder may have appended one.
func (m *Model) applyAppended(now time.Time, msg AppendedMsg) {
	r := &m.reporter
	r.pending = false
	era := r.era
	if !msg.Won || !m.enter(now, msg.Era) || r.era != era || msg.Offset != r.next {
		r.caughtUp = false
		if !msg.Won {
			r.delayStore(now)
		}
		return
	}
	r.storeFailures = 0
	r.next = msg.Offset + 1
	m.applyRecord(msg.Record)
}

// delayStore puts the next call to the store off after one that failed.
func (r *reporter) delayStore(now time.Time) {
	r.storeAt = now.Add(min(minStoreDelay<<min(r.storeFailures, 8), maxStoreDelay))
	r.storeFailures++
}

// calls returns the reports that are due, oldest first.
func (m *Model) calls(now, t time.Time) (cmds []ident.Cmd) {
	r := &m.reporter
	calling := 0
	for _, one := range r.reports {
		if one.calling {
			calling++
		}
	}
	for _, window := range slices.Sorted(maps.Keys(r.reports)) {
		one := r.reports[window]
		left := m.due(window).Sub(t)
		if !one.recorded || one.contradicted || one.accepted || one.calling || now.Before(one.nextAt) || left <= reportMargin || left > m.delay {
			continue
		}
		if calling >= maxReporting || now.Before(r.callAt) {
			return cmds
		}
		calling++
		one.calling, r.callAt = true, now.Add(m.callInterval)
		cmds = append(cmds, ReportCmd{Window: window, Counts: maps.Clone(one.counts), Token: r.token, Deadline: now.Add(left)})
	}
	return cmds
}

// applyReported applies the outcome of a report. One that was not accepted is repeated with the same counts.
func (m *Model) applyReported(now time.Time, msg ReportedMsg) {
	one, ok := m.reporter.reports[msg.Window]
	if !ok {
		return
	}
	one.calling = false
	if msg.Outcome == Accepted {
		one.accepted = true
		return
	}
	one.nextAt = now.Add(min(minReportDelay<<min(one.failures, 8), maxReportDelay))
	one.failures++
}

// judge returns the windows whose time is over without a report that was accepted. A new holder begins after the last window that has a
// record.
func (m *Model) judge(t time.Time) (cmds []ident.Cmd) {
	r, over := &m.reporter, m.firstOpen(t)-1
	if !r.caughtUp {
		return nil
	}
	if r.takesOver {
		r.takesOver, r.judged = false, max(r.judged, min(r.lastRecorded, over))
	}
	if r.judged == 0 {
		r.judged = over
	}
	var missed []MissedCmd
	for r.judged < over {
		r.judged++
		reason, last := m.missed(r.judged), len(missed)-1
		switch {
		case reason == "":
		case last >= 0 && missed[last].Reason == reason && missed[last].Last == r.judged-1:
			missed[last].Last = r.judged
		default:
			missed = append(missed, MissedCmd{First: r.judged, Last: r.judged, Reason: reason})
		}
	}
	for _, cmd := range missed {
		cmds = append(cmds, cmd)
	}
	return cmds
}

// missed returns why the report of a window whose time is over was not accepted, empty if it was, or if none was to be made.
func (m *Model) missed(window int64) (reason string) {
	one, ok := m.reporter.reports[window]
	switch {
	case ok && one.accepted, !ok && !m.isKnown(window):
		return ""
	case ok && one.contradicted, !ok && !m.isCertain(window):
		return "counts_uncertain"
	case ok && one.recorded:
		return "not_accepted"
	}
	return "not_recorded"
}
