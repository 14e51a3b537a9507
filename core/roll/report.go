package roll

import (
	"time"

	"cicadavalve/core/ident"
)

const (
	// An entry appends the evidence on one move every urgentReportInterval once the new version has shown
	// an indicator. Otherwise it waits for memberReportInterval times the number of members, if that is longer.
	urgentReportInterval = time.Second
	memberReportInterval = 400 * time.Millisecond
	// maxReportCells is the number of cells in a record from which no further organisations are added.
	maxReportCells = 32
)

// report holds the evidence on a move that this entry has not shared with the others yet.
type report struct {
	cells map[Cell]*CellEvidence
	// sent is the record not folded yet, or nil; it is appended repeatedly under sentID until it is folded.
	sent   *EvidenceBody
	sentID string
	sentAt time.Time
	// seq is the sequence number of the last record; it never decreases.
	seq int64
	// urgent is true if the unshared evidence shows an indicator on the new version.
	urgent bool
	// lastSeq holds the last sequence number folded from each other incarnation.
	lastSeq map[ident.BootID]int64
}

func (r *report) add(c CellEvidence) {
	if r.cells == nil {
		r.cells = map[Cell]*CellEvidence{}
	}
	known, ok := r.cells[c.Cell]
	if !ok && c.Cell.Org != "" && (len(r.cells) >= maxReportCells || c.New.empty()) {
		return
	}
	if !ok {
		known = &CellEvidence{Cell: c.Cell}
		r.cells[c.Cell] = known
	}
	known.Old.add(c.Old)
	known.New.add(c.New)
	for _, t := range c.New {
		r.urgent = r.urgent || t.Bad > 0
	}
}

// nextBody returns the body of the next record and clears the evidence collected for it.
func (r *report) nextBody(id MoveID, number int, entry ident.EntryID, incarnation ident.BootID) *EvidenceBody {
	r.seq++
	b := &EvidenceBody{Move: id, Number: number, Entry: entry, Incarnation: incarnation, Seq: r.seq}
	for _, c := range sortedCells(r.cells) {
		b.Cells = append(b.Cells, *r.cells[c])
	}
	r.cells, r.urgent = nil, false
	return b
}

// confirm clears the sent record once it has been folded.
func (r *report) confirm(seq int64) {
	if r.sent != nil && r.sent.Seq == seq {
		r.sent = nil
	}
}

// accept reports whether another incarnation's record has not been folded before, and marks it as folded.
func (r *report) accept(b EvidenceBody) bool {
	if r.lastSeq == nil {
		r.lastSeq = map[ident.BootID]int64{}
	}
	if b.Seq <= r.lastSeq[b.Incarnation] {
		return false
	}
	r.lastSeq[b.Incarnation] = b.Seq
	return true
}

// addAttempt adds an attempt to this entry's current window and to its next evidence record.
func (m *Model) addAttempt(now time.Time, a AttemptMsg) []ident.Cmd {
	mv, moving := m.moves[a.Model]
	if !moving || isFinal(m.phase(mv.ID)) || a.Version != mv.From && a.Version != mv.To {
		return nil
	}
	e := m.localState(mv.ID)
	isOld := a.Version == mv.From
	counts := e.latencies.classify(now, a, isOld)
	for _, cell := range [...]Cell{{Class: a.Class}, {Class: a.Class, Org: a.Org}} {
		c := CellEvidence{Cell: cell, New: counts}
		if isOld {
			c = CellEvidence{Cell: cell, Old: counts}
		}
		e.collect(now, c)
		e.report.add(c)
	}
	return m.evaluate(now, mv.ID)
}

// collect adds evidence to the current window.
func (e *localState) collect(now time.Time, c CellEvidence) {
	if len(e.window) == 0 {
		e.window, e.windowStart = map[Cell]*CellEvidence{}, now
	}
	known, ok := e.window[c.Cell]
	if !ok {
		known = &CellEvidence{Cell: c.Cell}
		e.window[c.Cell] = known
	}
	known.Old.add(c.Old)
	known.New.add(c.New)
}

// evaluate tests the attempts of a window once it is over.
func (m *Model) evaluate(now time.Time, id MoveID) []ident.Cmd {
	e := m.localState(id)
	if len(e.window) == 0 || now.Sub(e.windowStart) < evidenceWindow {
		return nil
	}
	for _, c := range sortedCells(e.window) {
		e.analysis.add(now, m.stepNumber(id), *e.window[c])
	}
	e.window = nil
	return m.checkRejection(id)
}

// reportEvidence appends an evidence record if one is due, or repeats the last one if it was not folded in time.
func (m *Model) reportEvidence(now time.Time, id MoveID) (cmds []ident.Cmd) {
	r := &m.localState(id).report
	if r.sent != nil {
		if now.Sub(r.sentAt) < retryInterval {
			return nil
		}
		r.sentAt = now
		return []ident.Cmd{m.recordAs(r.sentID, KindEvidence, r.sent)}
	}
	interval := max(urgentReportInterval, memberReportInterval*time.Duration(len(m.members)))
	if r.urgent {
		interval = urgentReportInterval
	}
	if len(r.cells) == 0 || now.Sub(r.sentAt) < interval {
		return nil
	}
	r.sent, r.sentID, r.sentAt = r.nextBody(id, m.stepNumber(id), m.entry, m.incarnation), m.recordID(), now
	return []ident.Cmd{m.recordAs(r.sentID, KindEvidence, r.sent)}
}
