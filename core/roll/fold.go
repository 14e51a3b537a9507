package roll

import (
	"encoding/json"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// fold folds records of the verdict stream; kinds that do not belong to version moves are ignored.
func (m *Model) fold(now time.Time, batch ledger.BatchMsg) (cmds []ident.Cmd) {
	if batch.Stream != ledger.StreamVerdict {
		return nil
	}
	if batch.First > m.next {
		m.partial, m.next = true, batch.First
	}
	for _, e := range batch.Entries {
		if e.Offset < m.next {
			continue
		}
		m.next = e.Offset + 1
		cmds = append(cmds, m.foldRecord(now, e)...)
	}
	return cmds
}

func decode[T any](e ledger.Entry) (body T, ok bool) {
	err := json.Unmarshal(e.Record.Body, &body)
	return body, err == nil
}

func (m *Model) foldRecord(now time.Time, e ledger.Entry) []ident.Cmd {
	switch e.Record.Kind {
	case KindStep:
		if body, ok := decode[StepBody](e); ok {
			return m.foldStep(now, body)
		}
	case KindKeep:
		if body, ok := decode[StepBody](e); ok {
			return m.foldKeep(now, body)
		}
	case KindTakeBack:
		if body, ok := decode[TakeBackBody](e); ok {
			return m.foldTakeBack(now, body)
		}
	case KindEvidence:
		if body, ok := decode[EvidenceBody](e); ok {
			return m.foldEvidence(now, body)
		}
	case KindClaim:
		if body, ok := decode[ClaimBody](e); ok {
			return m.foldClaim(now, e.Offset, body)
		}
	case KindRelease:
		if body, ok := decode[ReleaseBody](e); ok {
			m.foldRelease(now, e.Offset, body)
		}
	case KindTokenKeep:
		if body, ok := decode[TokenKeepBody](e); ok {
			m.foldTokenKeep(now, body)
		}
	}
	return nil
}

func (m *Model) state(id MoveID, versions Versions) *state {
	s, known := m.states[id]
	if !known {
		s = &state{versions: versions, phase: moveChart.Initial()}
		m.states[id] = s
	}
	return s
}

// foldStep folds the first record of each step; the chart has no transition for one after a final phase.
// If the log lost the move's earlier records, the step's own phase is taken.
func (m *Model) foldStep(now time.Time, b StepBody) []ident.Cmd {
	s := m.state(b.Move, b.Of)
	to, ok := nextPhase(s.phase, b.Event)
	if unseen := m.partial && s.number == 0 && !isFinal(s.phase); unseen {
		to, ok = b.Phase, true
	}
	if !ok || b.Number <= s.number {
		return nil
	}
	return m.enter(now, b.Move, s, StepBody{Number: b.Number, Phase: to, Share: b.Share})
}

// foldKeep adopts a state appended again before the log dropped it. It changes nothing on an entry that
// folded the steps.
func (m *Model) foldKeep(now time.Time, b StepBody) []ident.Cmd {
	s := m.state(b.Move, b.Of)
	s.keptAt = now
	if isFinal(s.phase) || b.Number < s.number || b.Number == s.number && b.Phase == s.phase {
		return nil
	}
	return m.enter(now, b.Move, s, b)
}

func (m *Model) enter(now time.Time, id MoveID, s *state, to StepBody) []ident.Cmd {
	s.phase, s.number, s.share = to.Phase, to.Number, to.Share
	s.changedAt, s.keptAt = now, now
	if s.phase == Complete {
		m.completed[s.versions.Name] = s.versions
		delete(m.stopped, id)
	}
	if e, known := m.local[id]; known {
		e.analysis.beginStep(s.number)
		e.proposedAt = time.Time{}
	}
	return []ident.Cmd{ChangedCmd{Move: id, Phase: s.phase, Number: s.number, Share: s.share}}
}

func (m *Model) foldTakeBack(now time.Time, b TakeBackBody) []ident.Cmd {
	s := m.state(b.Move, b.Of)
	to, ok := nextPhase(s.phase, EventTakeBack)
	if !ok {
		return nil
	}
	s.reason = b.Reason
	if _, known := m.stopped[b.Move]; !known {
		m.stopped[b.Move] = b
	}
	return m.enter(now, b.Move, s, StepBody{Number: s.number, Phase: to})
}

// foldEvidence tests the evidence of other incarnations; this one's own was tested when it was collected.
func (m *Model) foldEvidence(now time.Time, b EvidenceBody) []ident.Cmd {
	if !m.inForce(b.Move) {
		return nil
	}
	e := m.localState(b.Move)
	if b.Incarnation == m.incarnation {
		e.report.confirm(b.Seq)
		return nil
	}
	if !e.report.accept(b) {
		return nil
	}
	for _, c := range b.Cells {
		e.analysis.add(now, b.Number, c)
	}
	return m.checkRejection(b.Move)
}
