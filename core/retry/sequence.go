// Package retry decides when a request may be sent again and checks that the
// parts of its answer fit together.
package retry

import "github.com/cockroachdb/errors"

// The faults of an answer that end the attempt at it.
var (
	ErrGap        = errors.New("event out of sequence")
	ErrIncomplete = errors.New("answer ended without its final marker")
	ErrVersion    = errors.New("event is of another weight version")
)

// Dropped counts the events that were left out of an answer.
type Dropped struct {
	// Crossed events carried the id of another request, or of an earlier attempt at this one.
	Crossed int
	// Repeated events had been delivered before.
	Repeated int
}

// Sequence checks the events of one answer over all attempts at it.
//
//	seq := retry.NewSequence()
//	seq.Begin("req-1/1", "v6")
//	deliver, err := seq.Accept("req-1/1", "v6", 0)
type Sequence struct {
	// id is the current attempt's; no two attempts share one.
	id string
	// version is fixed by the first attempt.
	version string
	// next is the number of the first event not delivered yet; it never decreases.
	next int
	// ended is true once the final marker was accepted.
	ended   bool
	dropped Dropped
}

// NewSequence is the checker of one request's answer.
func NewSequence() *Sequence { return &Sequence{} }

// Begin starts an attempt; events under any other id are dropped from now on. An
// attempt on another weight version than the first is an error.
func (s *Sequence) Begin(id, version string) (err error) {
	if s.id != "" && version != s.version {
		return ErrVersion
	}
	s.id, s.version = id, version
	return nil
}

// Next is the number of the first event not delivered yet.
func (s *Sequence) Next() int { return s.next }

// Whole reports whether the answer is whole, with its final marker.
func (s *Sequence) Whole() bool { return s.ended }

// Dropped counts the events left out so far.
func (s *Sequence) Dropped() Dropped { return s.dropped }

// Accept reports whether an event is to be delivered. A crossed or repeated event is
// dropped and counted; a gap or another weight version is an error.
func (s *Sequence) Accept(id, version string, seq int) (deliver bool, err error) {
	switch {
	case id != s.id:
		s.dropped.Crossed++
		return false, nil
	case version != s.version:
		return false, ErrVersion
	case seq > s.next:
		return false, ErrGap
	case seq < s.next || s.ended:
		s.dropped.Repeated++
		return false, nil
	}
	s.next++
	return true, nil
}

// End accepts the final marker, which must follow the last event; a crossed one is dropped.
func (s *Sequence) End(id, version string, seq int) (ended bool, err error) {
	switch {
	case id != s.id:
		s.dropped.Crossed++
		return false, nil
	case version != s.version:
		return false, ErrVersion
	case seq != s.next:
		return false, ErrGap
	}
	s.ended = true
	return true, nil
}
