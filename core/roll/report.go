package roll

import (
	"time"

	"cicadavalve/core/ident"
)

const (
	// urgentInterval and calmInterval separate an entry's evidence records of one move: the first
	// once the new version has shown an indicator, the second, times the number of members, else.
	urgentInterval = time.Second
	calmInterval   = 400 * time.Millisecond
	// mostReported bounds the cells of one record.
	mostReported = 32
)

// report is the evidence that this entry has not told the others yet.
type report struct {
	cells map[Cell]*CellEvidence
	// sent waits to be folded; it is appended again under the same record id until then.
	sent   *EvidenceBody
	sentID string
	sentAt time.Time
	// seq is the last record's number; it never decreases.
	seq int64
	// urgent is true once the new version has shown an indicator.
	urgent bool
	// heard holds the last number folded of each other incarnation.
	heard map[ident.BootID]int64
}

func (r *report) add(c CellEvidence) {
	if r.cells == nil {
		r.cells = map[Cell]*CellEvidence{}
	}
	known, ok := r.cells[c.Cell]
	if !ok && c.Cell.Org != "" && (len(r.cells) >= mostReported || c.New.empty()) {
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

// take makes the next record's body, and starts anew.
func (r *report) take(id MoveID, number int, entry ident.EntryID, incarnation ident.BootID) *EvidenceBody {
	r.seq++
	b := &EvidenceBody{Move: id, Number: number, Entry: entry, Incarnation: incarnation, Seq: r.seq}
	for _, c := range sortedCells(r.cells) {
		b.Cells = append(b.Cells, *r.cells[c])
	}
	r.cells, r.urgent = nil, false
	return b
}

func (r *report) folded(seq int64) {
	if r.sent != nil && r.sent.Seq == seq {
		r.sent = nil
	}
}

// fresh reports whether another incarnation's record has not been folded yet.
func (r *report) fresh(b EvidenceBody) bool {
	if r.heard == nil {
		r.heard = map[ident.BootID]int64{}
	}
	if b.Seq <= r.heard[b.Incarnation] {
		return false
	}
	r.heard[b.Incarnation] = b.Seq
	return true
}

// attempt keeps an attempt for this entry's judge and for the next record.
func (m *Model) attempt(now time.Time, a AttemptMsg) []ident.Cmd {
	mv, moving := m.moves[a.Model]
	if !moving || ended(m.phase(mv.ID)) || a.Version != mv.From && a.Version != mv.To {
		return nil
	}
	e := m.effort(mv.ID)
	isOld := a.Version == mv.From
	counts := e.speeds.counts(now, a, isOld)
	for _, cell := range [...]Cell{{Class: a.Class}, {Class: a.Class, Org: a.Org}} {
		c := CellEvidence{Cell: cell, New: counts}
		if isOld {
			c = CellEvidence{Cell: cell, Old: counts}
		}
		e.gather(now, c)
		e.report.add(c)
	}
	return m.settle(now, mv.ID)
}

func (e *effort) gather(now time.Time, c CellEvidence) {
	if len(e.slice) == 0 {
		e.slice, e.sliceAt = map[Cell]*CellEvidence{}, now
	}
	known, ok := e.slice[c.Cell]
	if !ok {
		known = &CellEvidence{Cell: c.Cell}
		e.slice[c.Cell] = known
	}
	known.Old.add(c.Old)
	known.New.add(c.New)
}

// settle judges the attempts of a slice once it is over.
func (m *Model) settle(now time.Time, id MoveID) []ident.Cmd {
	e := m.effort(id)
	if len(e.slice) == 0 || now.Sub(e.sliceAt) < sliceTime {
		return nil
	}
	for _, c := range sortedCells(e.slice) {
		e.judge.add(now, m.number(id), *e.slice[c])
	}
	e.slice = nil
	return m.review(id)
}

// reports appends the evidence that is due.
func (m *Model) reports(now time.Time, id MoveID) (cmds []ident.Cmd) {
	r := &m.effort(id).report
	if r.sent != nil {
		if now.Sub(r.sentAt) < proposeInterval {
			return nil
		}
		r.sentAt = now
		return []ident.Cmd{m.recordAs(r.sentID, KindEvidence, r.sent)}
	}
	interval := max(urgentInterval, calmInterval*time.Duration(len(m.members)))
	if r.urgent {
		interval = urgentInterval
	}
	if len(r.cells) == 0 || now.Sub(r.sentAt) < interval {
		return nil
	}
	r.sent, r.sentID, r.sentAt = r.take(id, m.number(id), m.entry, m.incarnation), m.recordID(), now
	return []ident.Cmd{m.recordAs(r.sentID, KindEvidence, r.sent)}
}
