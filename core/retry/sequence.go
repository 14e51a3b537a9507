// Package retry decides when a request may be retried and checks that the events of its
// answer, over all attempts, form one sequence.
package retry

import "github.com/cockroachdb/errors"

// The errors in an answer that end the attempt.
var (
	ErrGap        = errors.New("event out of sequence")
	ErrIncomplete = errors.New("answer ended without its final marker")
	ErrVersion    = errors.New("event is of another weight version")
)

// Dropped counts the events that were not delivered.
type Dropped struct {
	// Crossed counts events with the id of another request, or of an earlier attempt of this one.
	Crossed int
	// Repeated counts events that had already been delivered, or that followed the final marker.
	Repeated int
}

// Sequence checks the order of the events of one answer over all attempts of the request.
//
//	seq := retry.NewSequence()
//	seq.Begin("req-1/1", "v6")
//	deliver, err := seq.Accept("req-1/1", "v6", 0)
type Sequence struct {
	// attemptID is the id of the current attempt; it is unique to the attempt.
	attemptID string
	// version is the weight version, set by the first attempt.
	version string
	// next is the number of the first event not delivered yet; it never decreases.
	next int
	// ended is true once the final marker has been accepted.
	ended   bool
	dropped Dropped
}

// NewSequence returns a sequence without attempts.
func NewSequence() *Sequence { return &Sequence{} }

// Begin starts an attempt; from then on events with any other id are dropped. It returns [ErrVersion]
// if the attempt uses another weight version than the first.
func (s *Sequence) Begin(id, version string) (err error) {
	if s.attemptID != "" && version != s.version {
		return ErrVersion
	}
	s.attemptID, s.version = id, version
	return nil
}

// Next returns the number of the first event not delivered yet.
func (s *Sequence) Next() int { return s.next }

// IsComplete reports whether the answer is complete, including its final marker.
func (s *Sequence) IsComplete() bool { return s.ended }

// Dropped returns the counts of the events dropped so far.
func (s *Sequence) Dropped() Dropped { return s.dropped }

// Accept reports whether event seq is to be delivered. A crossed or repeated event is dropped and
// counted; a gap returns [ErrGap] and another weight version [ErrVersion].
func (s *Sequence) Accept(id, version string, seq int) (deliver bool, err error) {
	switch {
	case id != s.attemptID:
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

// End reports whether the final marker is accepted. It must follow the last event, or [ErrGap] is returned;
// a crossed marker is dropped and counted.
func (s *Sequence) End(id, version string, seq int) (ended bool, err error) {
	switch {
	case id != s.attemptID:
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
