// Package replay runs a recorded journal through the state machines and reports where their commands differ from the
// recorded ones.
package replay

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/node"
	"cicadavalve/core/record"
	"cicadavalve/core/sched"
)

// The errors of an unusable journal.
var (
	ErrNoOpening = errors.New("the journal does not begin with the opening of an incarnation")
	ErrGap       = errors.New("steps are missing from the journal")
)

// Difference is a step whose replayed commands differ from the recorded ones.
type Difference struct {
	Seq      int64             `json:"seq"`
	At       time.Time         `json:"at"`
	Msg      record.Envelope   `json:"msg"`
	Recorded []record.Envelope `json:"recorded"`
	Replayed []record.Envelope `json:"replayed"`
}

// Report is the result of a replay.
type Report struct {
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	Steps       int64         `json:"steps"`
	// Compared counts the steps within the requested span.
	Compared    int64        `json:"compared"`
	Differences []Difference `json:"differences"`
}

// Option sets one property of a [Replayer].
type Option func(*Replayer)

// WithSpan compares only the steps processed between two times, both included; a zero time sets no limit.
func WithSpan(from, to time.Time) Option {
	return func(r *Replayer) { r.from, r.to = from, to }
}

// WithRules replaces every recorded rules file by text, to show what those rules would have decided.
func WithRules(text string) Option {
	return func(r *Replayer) { r.rules = text }
}

// Replayer replays the steps of one incarnation.
type Replayer struct {
	registry *record.Registry
	from, to time.Time
	rules    string
	node     *node.Node
	// next is the expected number of the next step.
	next   int64
	report Report
}

// NewReplayer returns a replayer that expects the first step.
//
//	r := replay.NewReplayer()
//	for _, e := range entries { if err := r.Step(e); err != nil { return err } }
//	differences := r.Report().Differences
func NewReplayer(options ...Option) *Replayer {
	r := &Replayer{registry: node.NewRegistry(), next: 1}
	for _, o := range options {
		o(r)
	}
	return r
}

// Report returns the result so far.
func (r *Replayer) Report() Report { return r.report }

// Node returns the state machines as they are after the last step, nil before the opening of an incarnation.
func (r *Replayer) Node() *node.Node { return r.node }

// Step replays one step and compares its commands with the recorded ones. It skips a step that it has already
// replayed: if the answer to the append of a segment is lost, the retry stores the segment twice.
func (r *Replayer) Step(e record.Entry) (err error) {
	defer func() { err = errors.Wrapf(err, "step %d", e.Seq) }()
	if e.Seq < r.next {
		return nil
	}
	if e.Seq != r.next {
		return ErrGap
	}
	r.next++
	msg, err := r.registry.Decode(e.Msg)
	if err != nil {
		return err
	}
	r.report.Steps++
	if open, ok := msg.(node.OpenMsg); ok {
		r.node = node.NewNode(open.Settings)
		r.report.Entry, r.report.Incarnation = open.Settings.Entry, open.Settings.Incarnation
		return nil
	}
	if r.node == nil {
		return ErrNoOpening
	}
	return r.compare(e, r.node.Update(e.At, r.overrideRules(msg)))
}

// overrideRules returns a message with its recorded rules replaced, if other rules are set.
func (r *Replayer) overrideRules(msg ident.Msg) ident.Msg {
	if r.rules == "" {
		return msg
	}
	switch msg := msg.(type) {
	case sched.RulesMsg:
		msg.Text = r.rules
		return msg
	case ledger.ProposeMsg:
		msg.Body.Text = r.rules
		return msg
	case ledger.PeerStatesMsg:
		return overrideStates(msg, r.rules)
	case ledger.BatchMsg:
		return r.overrideBatch(msg)
	}
	return msg
}

func (r *Replayer) overrideBatch(batch ledger.BatchMsg) ledger.BatchMsg {
	if batch.Stream != ledger.StreamConfig {
		return batch
	}
	entries := append([]ledger.Entry(nil), batch.Entries...)
	for i, e := range entries {
		entries[i].Record = overrideRecord(e.Record, r.rules)
	}
	batch.Entries = entries
	return batch
}

func (r *Replayer) compare(e record.Entry, cmds []ident.Cmd) (err error) {
	if !r.inSpan(e.At) {
		return nil
	}
	r.report.Compared++
	var replayed []record.Envelope
	for _, cmd := range cmds {
		envelope, err := r.registry.Encode(cmd)
		if err != nil {
			return err
		}
		replayed = append(replayed, envelope)
	}
	if !sameEnvelopes(e.Cmds, replayed) {
		r.report.Differences = append(r.report.Differences, Difference{e.Seq, e.At, e.Msg, e.Cmds, replayed})
	}
	return nil
}

func (r *Replayer) inSpan(at time.Time) bool {
	return !at.Before(r.from) && (r.to.IsZero() || !at.After(r.to))
}

func sameEnvelopes(a, b []record.Envelope) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Type != b[i].Type || !bytes.Equal(a[i].Body, b[i].Body) {
			return false
		}
	}
	return true
}
