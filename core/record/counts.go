package record

import (
	"cmp"
	"reflect"
	"slices"

	"cicadavalve/core/ident"
)

// TypeCount is what the steps of one type of message take.
type TypeCount struct {
	Type  string `json:"type"`
	Steps int64  `json:"steps"`
	// Bytes is the size of the steps before compression.
	Bytes int64 `json:"bytes"`
}

// Counts tells what a journal holds and lost.
type Counts struct {
	Steps       int64 `json:"steps"`
	MemorySteps int   `json:"memory_steps"`
	MemoryBytes int   `json:"memory_bytes"`
	// Forgotten counts the steps that memory no longer has, Dropped those that the log will not have.
	Forgotten int64 `json:"forgotten"`
	Dropped   int64 `json:"dropped"`
	// Faults counts the steps that could not be encoded.
	Faults int64 `json:"faults"`
	// Types has the largest first.
	Types []TypeCount `json:"types"`
}

// Counts tells what the journal holds and lost.
func (j *Journal) Counts() Counts {
	c := Counts{
		Steps: j.seq, MemorySteps: j.ring.Len(), MemoryBytes: j.ring.Used(), Forgotten: j.forgotten, Dropped: j.dropped,
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

func (j *Journal) count(msg ident.Msg, line Line) {
	name := reflect.TypeOf(msg).String()
	t := j.types[name]
	j.types[name] = TypeCount{name, t.Steps + 1, t.Bytes + int64(len(line.raw))}
}
