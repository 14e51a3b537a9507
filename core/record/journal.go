package record

import (
	"encoding/json"
	"time"

	"cicadavalve/core/ident"
)

// Entry is one step of a node: a message, when it was taken, and the commands that followed.
type Entry struct {
	// Seq counts the steps of one incarnation from 1 without gaps.
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

// Seq is the entry's number.
func (l Line) Seq() int64 { return l.seq }

// Raw is the entry as JSON.
func (l Line) Raw() []byte { return l.raw }

// Entry decodes the line.
func (l Line) Entry() (e Entry, err error) {
	err = json.Unmarshal(l.raw, &e)
	return e, err
}

// Journal holds the latest steps of one incarnation in bounded memory, and those
// that wait to be written to the platform's log.
type Journal struct {
	registry *Registry
	seq      int64
	ring     *Ring[Line]
	// pending are the lines that no segment holds yet; their sizes sum to at most pendingMost.
	pending      []Line
	pendingBytes int
	pendingMost  int
	// dropped counts the steps that the log will not have, forgotten those that memory no longer has.
	dropped   int64
	forgotten int64
	// faults counts the steps that could not be encoded.
	faults int64
	// types counts the encoded steps by the type of their message.
	types map[string]TypeCount
}

// NewJournal is an empty journal that keeps at most so many bytes in memory, and as
// many again for the log.
func NewJournal(registry *Registry, bytes int) *Journal {
	return &Journal{
		registry: registry, pendingMost: bytes, types: map[string]TypeCount{},
		ring: NewRing(bytes, func(l Line) int { return len(l.raw) }),
	}
}

// Lines are the steps in memory, oldest first.
func (j *Journal) Lines() []Line { return j.ring.Items() }

// Add notes a step.
func (j *Journal) Add(now time.Time, msg ident.Msg, cmds []ident.Cmd) {
	j.seq++
	line, err := j.line(now, msg, cmds)
	if err != nil {
		j.faults++
		return
	}
	j.count(msg, line)
	j.forgotten += int64(j.ring.Push(line))
	if j.pendingBytes+len(line.raw) > j.pendingMost {
		j.dropped++
		return
	}
	j.pending = append(j.pending, line)
	j.pendingBytes += len(line.raw)
}

func (j *Journal) line(now time.Time, msg ident.Msg, cmds []ident.Cmd) (l Line, err error) {
	e := Entry{Seq: j.seq, At: now}
	if e.Msg, err = j.registry.Encode(msg); err != nil {
		return l, err
	}
	if e.Cmds, err = j.registry.encodeAll(cmds); err != nil {
		return l, err
	}
	return NewLine(e)
}

// Take hands over the steps that wait for the log.
func (j *Journal) Take() (lines []Line) {
	lines, j.pending, j.pendingBytes = j.pending, nil, 0
	return lines
}

// Drop counts steps that the log did not take.
func (j *Journal) Drop(n int) { j.dropped += int64(n) }
