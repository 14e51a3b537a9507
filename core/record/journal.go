package record

import (
	"encoding/json"
	"time"

	"cicadavalve/core/ident"
)

// Entry is one step of a node: a message, the time of its processing, and the commands that followed.
type Entry struct {
	// Seq numbers the steps of one incarnation from 1 without gaps.
	Seq  int64      `json:"seq"`
	At   time.Time  `json:"at"`
	Msg  Envelope   `json:"msg"`
	Cmds []Envelope `json:"cmds,omitempty"`
}

// Line is an encoded entry.
type Line struct {
	seq int64
	raw []byte
}

// NewLine encodes an entry.
func NewLine(e Entry) (l Line, err error) {
	l = Line{seq: e.Seq}
	l.raw, err = json.Marshal(e)
	return l, err
}

// Seq returns the number of the step.
func (l Line) Seq() int64 { return l.seq }

// Raw returns the entry as JSON.
func (l Line) Raw() []byte { return l.raw }

// Entry decodes the line.
func (l Line) Entry() (e Entry, err error) {
	err = json.Unmarshal(l.raw, &e)
	return e, err
}

// Journal keeps the latest steps of one incarnation in bounded memory, and separately
// those that are still to be written to the platform's log.
type Journal struct {
	registry *Registry
	seq      int64
	ring     *Ring[Line]
	// pending holds the lines that are in no segment yet; the sum of their sizes is at most maxPendingBytes.
	pending         []Line
	pendingBytes    int
	maxPendingBytes int
	// dropped counts the steps that are never written to the log, evicted those removed from memory.
	dropped int64
	evicted int64
	// faults counts the steps that could not be encoded.
	faults int64
	// types counts the encoded steps by the type of their message.
	types map[string]TypeCount
}

// NewJournal returns an empty journal. MaxBytes limits the steps kept in memory, and
// separately those pending for the log.
func NewJournal(registry *Registry, maxBytes int) *Journal {
	return &Journal{
		registry: registry, maxPendingBytes: maxBytes, types: map[string]TypeCount{},
		ring: NewRing(maxBytes, func(l Line) int { return len(l.raw) }),
	}
}

// Lines returns the steps in memory, oldest first; the slice is shared with the journal.
func (j *Journal) Lines() []Line { return j.ring.Items() }

// Add records a step. A step that cannot be encoded is only counted, and one that exceeds the limit of
// pending steps is kept in memory but not written to the log.
func (j *Journal) Add(now time.Time, msg ident.Msg, cmds []ident.Cmd) {
	j.seq++
	line, err := j.encode(now, msg, cmds)
	if err != nil {
		j.faults++
		return
	}
	j.countStep(msg, line)
	j.evicted += int64(j.ring.Push(line))
	if j.pendingBytes+len(line.raw) > j.maxPendingBytes {
		j.dropped++
		return
	}
	j.pending = append(j.pending, line)
	j.pendingBytes += len(line.raw)
}

// encode returns the encoded entry of the current step.
func (j *Journal) encode(now time.Time, msg ident.Msg, cmds []ident.Cmd) (l Line, err error) {
	e := Entry{Seq: j.seq, At: now}
	if e.Msg, err = j.registry.Encode(msg); err != nil {
		return l, err
	}
	if e.Cmds, err = j.registry.encodeAll(cmds); err != nil {
		return l, err
	}
	return NewLine(e)
}

// TakePending returns the steps pending for the log and removes them.
func (j *Journal) TakePending() (lines []Line) {
	lines, j.pending, j.pendingBytes = j.pending, nil, 0
	return lines
}

// CountDropped counts n steps that could not be written to the log.
func (j *Journal) CountDropped(n int) { j.dropped += int64(n) }
