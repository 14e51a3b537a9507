package ledger

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// KindSnapshot is the kind of a record that carries a [State].
const KindSnapshot Kind = "snapshot"

// ErrState means that a state does not match its digest or can't be decoded.
var ErrState = errors.New("damaged state")

// State is the whole state of the configuration's fold. It is a function of the records
// before Next alone: two entries at the same offset have the same state.
type State struct {
	// Next is the offset of the first record that the state does not cover.
	Next     int64  `json:"next"`
	Version  int64  `json:"version"`
	Operator string `json:"operator"`
	Text     string `json:"text"`
	// Outcomes holds those within [OutcomeWindow], in offset order.
	Outcomes []KeptOutcome `json:"outcomes,omitempty"`
	// Digest is the hash of the other fields.
	Digest uint64 `json:"digest"`
}

// KeptOutcome is the outcome of a proposal that the fold still remembers.
type KeptOutcome struct {
	ID     string `json:"id"`
	Offset int64  `json:"offset"`
	// TextDigest is the hash of the proposed file.
	TextDigest uint64  `json:"text_digest"`
	Outcome    Outcome `json:"outcome"`
}

// sum returns the hash of every field but Digest.
func (s State) sum() uint64 {
	s.Digest = 0
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err) // State holds only strings and numbers.
	}
	return xxhash.Sum64(raw)
}

// Encode returns the state as the body of a snapshot record.
func (s State) Encode() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err) // State holds only strings and numbers.
	}
	return raw
}

// DecodeState decodes the body of a snapshot record. The error is an [ErrState] if it can't be decoded or
// its digest does not match.
func DecodeState(raw []byte) (s State, err error) {
	if err := json.Unmarshal(raw, &s); err != nil {
		return State{}, errors.Mark(err, ErrState)
	}
	if s.Digest != s.sum() {
		return State{}, errors.Wrapf(ErrState, "state up to offset %d", s.Next)
	}
	return s, nil
}

// WithText returns the state as if every proposal had been the given file. Replays with other rules use it.
func (s State) WithText(text string) State {
	if s.Version > 0 {
		s.Text = text
	}
	s.Outcomes = slices.Clone(s.Outcomes)
	for i := range s.Outcomes {
		s.Outcomes[i].TextDigest = xxhash.Sum64String(text)
	}
	s.Digest = s.sum()
	return s
}
