// Package retry decides when a request may be sent again and checks that the
// parts of its answer fit together.
package retry

import "github.com/cockroachdb/errors"

// The faults of an answer.
var (
	ErrCrossed    = errors.New("event belongs to another request")
	ErrGap        = errors.New("event out of sequence")
	ErrIncomplete = errors.New("answer ended without its final marker")
)

// Sequence checks the events of one answer over all attempts at it.
//
//	seq := retry.NewSequence("req-1")
//	deliver, err := seq.Accept("req-1", 0)
type Sequence struct {
	id string
	// next is the number of the first event not delivered yet; it never decreases.
	next int
	// ended is true once the final marker was accepted.
	ended bool
}

// NewSequence is the checker of one request's answer.
func NewSequence(id string) *Sequence { return &Sequence{id: id} }

// Next is the number of the first event not delivered yet.
func (s *Sequence) Next() int { return s.next }

// Whole reports whether the answer is whole, with its final marker.
func (s *Sequence) Whole() bool { return s.ended }

// Accept reports whether an event is to be delivered; one that was delivered before is dropped.
func (s *Sequence) Accept(id string, seq int) (deliver bool, err error) {
	switch {
	case id != s.id:
		return false, ErrCrossed
	case seq > s.next:
		return false, ErrGap
	case seq < s.next:
		return false, nil
	}
	s.next++
	return true, nil
}

// End accepts the final marker, which must follow the last event.
func (s *Sequence) End(id string, seq int) (err error) {
	switch {
	case id != s.id:
		return ErrCrossed
	case seq != s.next:
		return ErrGap
	}
	s.ended = true
	return nil
}
