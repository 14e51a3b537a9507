package record

import (
	"cmp"
	"reflect"
	"slices"

	"cicadavalve/core/ident"
)

// TypeCount is the number and size of the steps with one type of message.
type TypeCount struct {
	Type  string `json:"type"`
	Steps int64  `json:"steps"`
	// Bytes is the size of the encoded steps before compression.
	Bytes int64 `json:"bytes"`
}

// Counts summarises what a journal holds and has lost.
type Counts struct {
	Steps       int64 `json:"steps"`
	MemorySteps int   `json:"memory_steps"`
	MemoryBytes int   `json:"memory_bytes"`
	// Evicted counts the steps evicted from memory, Dropped those that are never written to the log.
	Evicted int64 `json:"forgotten"`
	Dropped int64 `json:"dropped"`
	// Faults counts the steps that could not be encoded.
	Faults int64 `json:"faults"`
	// Types is sorted by size, largest first.
	Types []TypeCount `json:"types"`
}

// Counts returns the present counts of the journal.
func (j *Journal) Counts() Counts {
	c := Counts{
		Steps: j.seq, MemorySteps: j.ring.Len(), MemoryBytes: j.ring.Used(), Evicted: j.evicted, Dropped: j.dropped,
		Faults: j.faults,
	}
	for _, t := range j.types {
		c.Types = append(c.Types, t)
	}
	slices.SortFunc(c.Types, func(a, b TypeCount) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Type, b.Type))
	})
	return c
}

// countStep adds an encoded step to the counts of its message type.
func (j *Journal) countStep(msg ident.Msg, line Line) {
	name := reflect.TypeOf(msg).String()
	t := j.types[name]
	j.types[name] = TypeCount{name, t.Steps + 1, t.Bytes + int64(len(line.raw))}
}
