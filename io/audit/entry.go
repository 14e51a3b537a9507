package audit

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/node"
	"cicadavalve/core/record"
	"cicadavalve/core/replay"
	"cicadavalve/io/entry"
	"cicadavalve/io/peer"
)

// Entry is the state of an entry after the last step of its journal in the log.
type Entry struct {
	node *node.Node
	at   time.Time
	// steps are the steps of the last incarnation up to the first gap in the log.
	steps []record.Entry
}

// Entry rebuilds an entry by replaying the recorded messages of its last incarnation. It returns [ErrNoJournal] if the
// log has no journal of it.
func (r *Reader) Entry(ctx context.Context, id ident.EntryID) (e *Entry, err error) {
	defer func() { err = errors.Wrapf(err, "entry %s", id) }()
	segments, err := r.Segments(ctx, id)
	if err != nil {
		return nil, err
	}
	if len(segments) == 0 {
		return nil, ErrNoJournal
	}
	e = &Entry{}
	run := replay.NewReplayer()
	last := segments[len(segments)-1].Incarnation
	for _, s := range segments {
		if s.Incarnation != last {
			continue
		}
		if err := e.replaySegment(run, s); err != nil {
			return nil, err
		}
	}
	e.node = run.Node()
	if e.node == nil {
		return nil, replay.ErrNoOpening
	}
	return e, nil
}

// replaySegment replays the steps of a segment. It stops at a gap, since the state after it is not known.
func (e *Entry) replaySegment(run *replay.Replayer, s record.Segment) (err error) {
	steps, err := s.Entries()
	if err != nil {
		return err
	}
	for _, step := range steps {
		if e.has(step) {
			continue
		}
		if err := run.Step(step); errors.Is(err, replay.ErrGap) || errors.Is(err, replay.ErrNoOpening) {
			return nil
		} else if err != nil {
			return err
		}
		e.steps, e.at = append(e.steps, step), step.At
	}
	return nil
}

// has reports whether a step was replayed before. The log has a segment twice if the answer to its append was lost.
func (e *Entry) has(step record.Entry) bool {
	n := len(e.steps)
	return n > 0 && step.Seq <= e.steps[n-1].Seq
}

// At returns the time of the last replayed step.
func (e *Entry) At() time.Time { return e.at }

// Status returns the configuration and the members that the entry had in force.
func (e *Entry) Status() peer.Status {
	s := e.node.Settings()
	return peer.Status{
		Entry: s.Entry, Zone: s.Zone, Version: e.node.Sched().RulesVersion(), Operator: e.node.Config().Operator(),
		Text: e.node.Config().Text(), Digest: e.node.Config().Digest(), Members: e.node.Roster().Members(),
	}
}

// Show returns the document that the entry itself would have returned after its last step.
func (e *Entry) Show(subject, argument string) (document any, err error) {
	defer func() { err = errors.Wrapf(err, "show %s from the log", subject) }()
	if subject == entry.SubjectWhy {
		lines, err := e.lines()
		if err != nil {
			return nil, err
		}
		return entry.RequestSteps(lines, argument)
	}
	document, known := entry.View(e.node, e.at, subject)
	if !known {
		return nil, errors.Wrapf(peer.ErrUnknownSubject, "%q is not in the journal", subject)
	}
	return document, nil
}

func (e *Entry) lines() (lines []record.Line, err error) {
	for _, step := range e.steps {
		line, err := record.NewLine(step)
		if err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	return lines, nil
}
