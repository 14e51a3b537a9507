package ramp

import (
	"cmp"
	"slices"
	"time"

	"cicadavalve/core/ident"
)

// Indicator is a sign of a bad release.
type Indicator int

// The indicators, which index [Counts].
const (
	Failed Indicator = iota
	SlowFirst
	SlowWhole
	indicators
)

var indicatorNames = [indicators]string{"failed", "slow_first", "slow_whole"}

// String returns the name of the indicator.
func (i Indicator) String() string { return indicatorNames[i] }

// Tally counts attempts and how many of them show an indicator.
type Tally struct{ N, Bad int }

// Counts holds a tally for each indicator.
type Counts [indicators]Tally

func (c *Counts) add(o Counts) {
	for i := range c {
		c[i].N, c[i].Bad = c[i].N+o[i].N, c[i].Bad+o[i].Bad
	}
}

// since returns what was added to an earlier count, or all if it began anew.
func (c Counts) since(earlier Counts) (added Counts) {
	for i := range c {
		added[i] = Tally{c[i].N - earlier[i].N, c[i].Bad - earlier[i].Bad}
		if added[i].N < 0 || added[i].Bad < 0 {
			return c
		}
	}
	return added
}

const (
	// breakInterval is the time within which several attempts that break off at one upstream count once: an upstream that
	// ends breaks all of them off.
	breakInterval = time.Second
	// lossNoticeTime is how long after an attempt broke off an entry knows whether that was the loss of its own link.
	lossNoticeTime = 1500 * time.Millisecond
	// maxCells bounds the routes in a report.
	maxCells = 20
)

// sent notes an attempt.
func (m *Model) sent(now time.Time, a Attempt) {
	s := m.service(a.Service)
	r := s.run
	t := &attempt{Attempt: a, sentAt: now}
	if r != nil && r.verdict == Undecided {
		t.run, t.isNew = r, r.target == a.Release
		t.loaded = t.isNew && now.Before(r.loadedUntil)
		if t.isNew {
			r.share.charge(a.Route)
		}
	}
	m.attempts[a.ID] = t
}

// firstByte compares the time to the first byte.
func (m *Model) firstByte(now time.Time, id uint64) {
	a, known := m.attempts[id]
	if !known || a.first {
		return
	}
	a.first, a.overdueAt = true, time.Time{}
	m.timed(a, SlowFirst, a.firstPace(now), a.slowFirst)
}

// timed counts how long an answer took; counted is set if the attempt was counted as slow before. Answers of cold
// upstreams are left out.
func (m *Model) timed(a *attempt, i Indicator, v float64, counted bool) {
	if a.Cold {
		return
	}
	s, whole := m.service(a.Service), i == SlowWhole
	limit, ok := a.limit(s, whole)
	if ok && !counted {
		m.count(a, i, v > limit)
	}
	if !a.isNew && !s.barred[a.Release] {
		s.pace.add(a.Route, whole, v)
	}
}

// count adds an attempt to what this entry tells and judges.
func (m *Model) count(a *attempt, i Indicator, bad bool) {
	if a.run == nil {
		return
	}
	var c Counts
	c[i].N = 1
	if bad {
		c[i].Bad = 1
	}
	cell, known := a.run.own[a.Route]
	if !known {
		if len(a.run.own) >= maxRoutes {
			return
		}
		cell = &Cell{Route: a.Route}
		a.run.own[a.Route] = cell
	}
	added := Cell{Route: a.Route}
	if a.isNew {
		cell.New.add(c)
		added.New = c
	} else {
		cell.Old.add(c)
		added.Old = c
	}
	a.run.judge.add(added)
}

// ended counts the end of an attempt.
func (m *Model) ended(now time.Time, msg EndMsg) {
	a, known := m.attempts[msg.ID]
	if !known {
		return
	}
	delete(m.attempts, msg.ID)
	s := m.service(a.Service)
	switch {
	case msg.Void:
		return
	case msg.Broken:
		if last, broke := s.brokeAt[a.Upstream]; broke && now.Sub(last) < breakInterval {
			return
		}
		m.noteBreak(now, s, a.Upstream)
		m.breaks = append(m.breaks, brokenAttempt{a, now})
		return
	case !msg.Failed:
		if v, ok := a.wholePace(now); ok {
			m.timed(a, SlowWhole, v, a.slowWhole)
		}
	}
	m.count(a, Failed, msg.Failed)
}

// noteBreak notes that an attempt broke off at an upstream, and forgets those that no longer count.
func (m *Model) noteBreak(now time.Time, s *service, upstream ident.UpstreamID) {
	for id, at := range s.brokeAt {
		if now.Sub(at) >= breakInterval {
			delete(s.brokeAt, id)
		}
	}
	s.brokeAt[upstream] = now
}

// countBreaks counts the attempts that broke off, unless this entry had lost its link: once the upstream has been reached since, or
// when the loss would be known.
func (m *Model) countBreaks(now time.Time, link func(ident.UpstreamID) Link) {
	m.breaks = slices.DeleteFunc(m.breaks, func(b brokenAttempt) bool {
		l := link(b.Upstream)
		switch {
		case l.Lost:
			return true
		case l.ContactAt.After(b.at) || now.Sub(b.at) >= lossNoticeTime:
			m.count(b.attempt, Failed, true)
			return true
		}
		return false
	})
}

// countOverdue counts the attempts under way that are slow already, if their upstreams have been reached since. What a lost link
// keeps back says nothing of a release.
func (m *Model) countOverdue(now time.Time, link func(ident.UpstreamID) Link) {
	for _, a := range m.attempts {
		if a.run == nil || !a.isNew || a.Cold {
			continue
		}
		s := m.service(a.Service)
		if limit, ok := a.limit(s, false); ok && !a.first && !a.slowFirst && a.firstPace(now) > limit && a.overdue(now, link) {
			a.slowFirst = true
			m.count(a, SlowFirst, true)
		}
		v, timed := a.wholePace(now)
		if limit, ok := a.limit(s, true); ok && timed && !a.slowWhole && v > limit && a.overdue(now, link) {
			a.slowWhole = true
			m.count(a, SlowWhole, true)
		}
	}
}

// overdue reports whether the upstream of a slow attempt was reached since the attempt was first found to be slow.
func (a *attempt) overdue(now time.Time, link func(ident.UpstreamID) Link) bool {
	if a.overdueAt.IsZero() {
		a.overdueAt = now
	}
	return link(a.Upstream).ContactAt.After(a.overdueAt)
}

// hear applies what another entry tells.
func (m *Model) hear(now time.Time, msg ReportMsg) (cmds []ident.Cmd) {
	r := m.service(msg.Report.Service).run
	if r == nil || r.target != msg.Report.Target {
		return nil
	}
	if since := now.Add(-msg.Report.Age); since.Before(r.since) {
		r.since = since
	}
	earlier := map[string]Cell{}
	for _, c := range r.others[msg.Entry].Cells {
		earlier[c.Route] = c
	}
	for _, c := range msg.Report.Cells {
		last := earlier[c.Route]
		r.judge.add(Cell{Route: c.Route, Old: c.Old.since(last.Old), New: c.New.since(last.New)})
	}
	r.others[msg.Entry], r.heardAt[msg.Entry] = msg.Report, now
	if msg.Report.Step > r.step && r.verdict == Undecided {
		cmds = append(cmds, r.enter(now, min(msg.Report.Step, fullStep)))
	}
	if msg.Report.Verdict.isKnown() && m.decide(r, msg.Report.Verdict) {
		cmds = append(cmds, r.verdictCmd(now, nil))
	}
	return cmds
}

// Active reports whether a roll-out goes on.
func (m *Model) Active() bool {
	return slices.ContainsFunc(m.runs(), func(r *run) bool { return r.verdict == Undecided })
}

// Reports returns what this entry tells the others, with the routes that have the most samples. Of a roll-out that has ended
// it is the verdict alone.
func (m *Model) Reports(now time.Time) (reports []Report) {
	for _, r := range m.runs() {
		report := Report{Service: r.service, Target: r.target, Age: r.age(now), Step: r.step, Verdict: r.verdict}
		if r.verdict != Undecided {
			reports = append(reports, report)
			continue
		}
		for _, c := range r.own {
			report.Cells = append(report.Cells, *c)
		}
		slices.SortFunc(report.Cells, func(a, b Cell) int {
			return cmp.Or(cmp.Compare(b.New[Failed].N, a.New[Failed].N), cmp.Compare(b.Old[Failed].N, a.Old[Failed].N), cmp.Compare(a.Route, b.Route))
		})
		report.Cells = report.Cells[:min(len(report.Cells), maxCells)]
		reports = append(reports, report)
	}
	return reports
}
