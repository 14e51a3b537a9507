// Package gossip carries what entries tell each other, in datagrams that may be lost.
package gossip

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Load is what an entry has under way at one upstream.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Requests int
	Backlog  int
	Memory   int
}

// Change is a part that a holder keeps; no tokens means that it has none of it.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Key    uint64
	Tokens int
}

// Report is what a holder of kept context told the entry that follows it.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Holder  string
	Epoch   int64
	Changes []Change
}

// Save is a part on its way into a store or an upstream.
type Save struct {
	_      struct{} `cbor:",toarray"`
	Store  string
	Key    uint64
	Tokens int
}

// Link is how long the transfers that an entry asked a holder for still take.
type Link struct {
	_      struct{} `cbor:",toarray"`
	Holder string
	BusyMS int
}

// Mark tells how far the sender has read a topic of the store, and where the last record was that mattered.
type Mark struct {
	_       struct{} `cbor:",toarray"`
	Topic   int
	Next    int64
	Changed int64
	AgeMS   int
}

// Message is one datagram. A message that carries only loads in part has the same Round as its other parts.
type Message struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Life    int    `cbor:"4,keyasint"`
	Boot    int64  `cbor:"5,keyasint"`
	// Peers lists entries that the sender knows to be alive.
	Peers []string `cbor:"6,keyasint,omitempty"`
	// Holds tells that the sender holds the duty of giving orders.
	Holds bool `cbor:"7,keyasint,omitempty"`
	// Ordered lists upstreams that carry out orders or are about to.
	Ordered []string `cbor:"8,keyasint,omitempty"`
	// Beat tells a heartbeat, whose loads replace those sent before, from other messages.
	Beat    bool     `cbor:"9,keyasint,omitempty"`
	Loads   []Load   `cbor:"10,keyasint,omitempty"`
	Reports []Report `cbor:"11,keyasint,omitempty"`
	Saves   []Save   `cbor:"12,keyasint,omitempty"`
	// Weights lists versions of weights that engines were seen at.
	Weights []Weights `cbor:"13,keyasint,omitempty"`
	Links   []Link    `cbor:"14,keyasint,omitempty"`
	// Reads lists parts that upstreams are about to have; Store is the upstream.
	Reads []Save `cbor:"15,keyasint,omitempty"`
	Marks []Mark `cbor:"16,keyasint,omitempty"`
}

// Weights is the version that an engine was seen at.
type Weights struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Model    string
	Version  int64
}

// Socket sends and receives datagrams.
type Socket struct {
	conn *net.UDPConn
	self string
}

// Listen opens a socket at an address, which is also the entry's id.
func Listen(address string) (s *Socket, err error) {
	defer func() { err = errors.Wrap(err, "datagram socket") }()
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn, self: address}, nil
}

// Close ends the socket.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends a message to entries. It returns the first error; the others still get the message.
func (s *Socket) Send(to []string, m Message) (err error) {
	datagrams, err := Encode(m)
	if err != nil {
		return err
	}
	return s.Write(to, datagrams)
}

// Encode writes a message as datagrams, for [Socket.Write].
func Encode(m Message) (datagrams [][]byte, err error) {
	defer func() { err = errors.Wrap(err, "encode datagram") }()
	for _, part := range split(m) {
		b, err := cbor.Marshal(part)
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, b)
	}
	return datagrams, nil
}

// Write sends datagrams to entries. An entry that can't be reached keeps none of them from the others.
func (s *Socket) Write(to []string, datagrams [][]byte) (err error) {
	defer func() { err = errors.Wrap(err, "send datagram") }()
	for _, id := range to {
		if id == s.self {
			continue
		}
		addr, resolveErr := net.ResolveUDPAddr("udp4", id)
		if resolveErr != nil {
			err = errors.CombineErrors(err, resolveErr)
			continue
		}
		for _, b := range datagrams {
			if _, writeErr := s.conn.WriteToUDP(b, addr); writeErr != nil {
				err = errors.CombineErrors(err, writeErr)
			}
		}
	}
	return err
}

// perDatagram is how many changes of parts go into one datagram: each takes about 13 bytes.
const perDatagram = 80

// split cuts long reports into several messages.
func split(m Message) (parts []Message) {
	reports := m.Reports
	m.Reports = nil
	parts = []Message{m}
	for _, r := range reports {
		for {
			n := min(len(r.Changes), perDatagram)
			piece := Report{Holder: r.Holder, Epoch: r.Epoch, Changes: r.Changes[:n]}
			last := &parts[len(parts)-1]
			if weight(*last)+n > perDatagram {
				parts = append(parts, Message{ID: m.ID, Address: m.Address, Zone: m.Zone, Life: m.Life, Boot: m.Boot})
				last = &parts[len(parts)-1]
			}
			last.Reports = append(last.Reports, piece)
			if r.Changes = r.Changes[n:]; len(r.Changes) == 0 {
				break
			}
		}
	}
	return parts
}

// weight is about how much a message holds, counted in changes of parts.
func weight(m Message) (n int) {
	n = 2*len(m.Loads) + 2*len(m.Peers) + 2*len(m.Saves) + 2*len(m.Reads) + 2*len(m.Ordered) + 2*len(m.Links) + 2*len(m.Weights) + 2*len(m.Marks)
	for _, r := range m.Reports {
		n += 3 + len(r.Changes)
	}
	return n
}

// Run hands each message that arrives to a function until the context ends. Bytes that are no message are
// handed to bad.
func (s *Socket) Run(ctx context.Context, take func(Message), bad func(error)) {
	defer context.AfterFunc(ctx, func() { _ = s.conn.Close() })()
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			bad(errors.Wrap(err, "receive datagram"))
			continue
		}
		var m Message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			bad(errors.Wrap(err, "datagram"))
			continue
		}
		take(m)
	}
}
