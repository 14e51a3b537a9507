package gossip

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Passed is a message in an envelope.
type Passed struct {
	_       struct{} `cbor:",toarray"`
	Content []byte
	// HeldMS is how long the entries that passed it on have held it, in milliseconds.
	HeldMS int
}

// Cell is a part of the entries of an availability zone, of as many as Count parts.
type Cell struct {
	_     struct{} `cbor:",toarray"`
	Zone  string
	Index int
	Count int
}

// maxEnvelope bounds an envelope with more than one message, in bytes, so that it fits a frame of Ethernet.
const maxEnvelope = 1400

// envelopeOverhead is about the size of an envelope without messages and passedOverhead that of a message without its content, in bytes.
const (
	envelopeOverhead = 60
	passedOverhead   = 10
)

// EncodeEnvelopes packs messages into as few datagrams as fit a frame each. A cell makes the receiver pass them on; it may be nil.
func EncodeEnvelopes(sender string, cell *Cell, messages []Passed) (datagrams [][]byte, err error) {
	defer func() { err = errors.Wrap(err, "encode envelope") }()
	for len(messages) > 0 {
		n, size := 0, envelopeOverhead
		for n < len(messages) {
			if size += len(messages[n].Content) + passedOverhead; n > 0 && size > maxEnvelope {
				break
			}
			n++
		}
		b, err := cbor.Marshal(Message{ID: sender, Cell: cell, Passed: messages[:n]})
		if err != nil {
			return nil, err
		}
		datagrams, messages = append(datagrams, b), messages[n:]
	}
	return datagrams, nil
}
