// Package gossip exchanges messages between entries in datagrams, which may be lost.
package gossip

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Load is the load that the sender has in flight at one upstream.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Requests int
	Backlog  int
	Memory   int
}

// Change is a part that a holder now keeps, with its tokens; zero tokens mean that it no longer has the part.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Key    uint64
	Tokens int
}

// Report lists changes at a holder of cached context, as received by the entry that follows it.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Holder  string
	Epoch   int64
	Changes []Change
	// AgeMS is how long before the message the holder is known to have been in this incarnation, in ms. It is sent in
	// ReportAges, since entries of an earlier build don't read arrays with further elements.
	AgeMS int `cbor:"-"`
	// Next is the position at the holder up to which the entry that follows it has told all changes, 0 if more messages with
	// changes come. It is sent in ReportNexts.
	Next int64 `cbor:"-"`
}

// Save is a part that a store or an upstream is about to have.
type Save struct {
	_      struct{} `cbor:",toarray"`
	Store  string
	Key    uint64
	Tokens int
}

// Link is the remaining time of the transfers from a holder that the sender started, in milliseconds.
type Link struct {
	_      struct{} `cbor:",toarray"`
	Holder string
	BusyMS int
}

// Mark is the sender's position in a topic of the store. Next is the offset of the first unread record, Changed the
// offset after the last record that changed anything. AgeMS is how long ago the topic ended at Next, in milliseconds.
type Mark struct {
	_       struct{} `cbor:",toarray"`
	Topic   int
	Next    int64
	Changed int64
	AgeMS   int
	// Share is sent in Shares. It is nil if none was sent.
	Share *Share `cbor:"-"`
}

// Share holds the records of a topic from an offset on that changed something, up to the mark to which it belongs.
type Share struct {
	_       struct{} `cbor:",toarray"`
	From    int64
	Records []Record
}

// Record is a record of a topic.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Offset  int64
	Content []byte
}

// Limit is the limit of requests that the newest answer of an upstream at the sender names, or its end. AgeMS is how
// long ago the answer arrived, in milliseconds.
type Limit struct {
	_         struct{} `cbor:",toarray"`
	Upstream  string
	Born      int64
	Named     bool
	PerSecond float64
	AgeMS     int
}

// Loss is the loss of an upstream while a request ran there. It has a form of its own since each request that was in
// flight at a crash has one.
type Loss struct {
	_        struct{} `cbor:",toarray"`
	Digest   []byte
	Upstream string
	Boot     string
	// Earlier counts the request's earlier losses on the same boot.
	Earlier int
	// Trial is set if the request was on trial, Confirmed if the upstream is known to have ended.
	Trial, Confirmed bool
}

// Verdict is another record about a crashing request. Body is in JSON, as in a log.
type Verdict struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body []byte
}

// Rollout is what the sender knows of a roll-out. AgeMS is the time since the order, in milliseconds.
type Rollout struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Release string
	AgeMS   int
	Step    int
	Verdict int
	Cells   []RolloutCell
}

// RolloutCell counts the attempts of one route at the old and the new release. The lists hold for each indicator the
// number of attempts and how many of them show it.
type RolloutCell struct {
	_     struct{} `cbor:",toarray"`
	Route string
	Old   []int
	New   []int
}

// Unreachable is an upstream to which the sender can't open connections. AgeMS is how long ago that began, in milliseconds.
type Unreachable struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	AgeMS    int
}

// Contact is an upstream that has answered the sender. AgeMS is how long ago that was, in milliseconds.
type Contact struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	AgeMS    int
}

// Leaving is an incarnation of an upstream that says in its answers that it leaves.
type Leaving struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Born     int64
}

// ConcurrencyLimit limits the requests in flight at an upstream that tolerates few rejections a second, as of AgeMS
// milliseconds ago.
type ConcurrencyLimit struct {
	_          struct{} `cbor:",toarray"`
	Upstream   string
	Born       int64
	Rejections float64
	Limit      float64
	AgeMS      int
}

// Message is the content of one datagram. Long reports are split over several messages, of which the first carries the
// other fields.
type Message struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	State   int    `cbor:"4,keyasint"`
	Boot    int64  `cbor:"5,keyasint"`
	// Peers lists some of the entries that the sender considers alive.
	Peers []string `cbor:"6,keyasint,omitempty"`
	// HoldsLease reports that the sender has the newest claim of the lease on giving orders. It may still have to wait
	// before it gives orders.
	HoldsLease bool `cbor:"7,keyasint,omitempty"`
	// Ordered lists upstreams that carry out orders of the sender or are about to.
	Ordered []string `cbor:"8,keyasint,omitempty"`
	// Heartbeat marks a heartbeat, whose loads replace those sent before.
	Heartbeat bool     `cbor:"9,keyasint,omitempty"`
	Loads     []Load   `cbor:"10,keyasint,omitempty"`
	Reports   []Report `cbor:"11,keyasint,omitempty"`
	Saves     []Save   `cbor:"12,keyasint,omitempty"`
	// Weights lists versions of weights that engines have reported.
	Weights []Weights `cbor:"13,keyasint,omitempty"`
	Links   []Link    `cbor:"14,keyasint,omitempty"`
	// Prefills lists parts that upstreams are prefilling or about to; Store is the upstream.
	Prefills []Save `cbor:"15,keyasint,omitempty"`
	Marks    []Mark `cbor:"16,keyasint,omitempty"`
	// Verdicts and Losses are sent in messages of their own.
	Verdicts []Verdict `cbor:"17,keyasint,omitempty"`
	Losses   []Loss    `cbor:"18,keyasint,omitempty"`
	// Limits are sent in a message of their own.
	Limits []Limit `cbor:"19,keyasint,omitempty"`
	// Era is the era of the store in which the offsets of Marks count.
	Era int64 `cbor:"20,keyasint,omitempty"`
	// Rollouts are sent in a message each.
	Rollouts []Rollout `cbor:"21,keyasint,omitempty"`
	// ReportAges holds the ages of Reports while they are sent.
	ReportAges []int `cbor:"22,keyasint,omitempty"`
	// ReportNexts holds the positions of Reports while they are sent.
	ReportNexts []int64 `cbor:"28,keyasint,omitempty"`
	// Partitioned is set while the sender has lost most of its links to upstreams.
	Partitioned bool `cbor:"23,keyasint,omitempty"`
	// Version is that of the sender's configuration. Entries of an earlier build don't tell it.
	Version int64 `cbor:"29,keyasint,omitempty"`
	// Unreachable asks whether other entries reach these upstreams, Contacts answers that.
	Unreachable       []Unreachable      `cbor:"24,keyasint,omitempty"`
	Contacts          []Contact          `cbor:"25,keyasint,omitempty"`
	Leaving           []Leaving          `cbor:"26,keyasint,omitempty"`
	ConcurrencyLimits []ConcurrencyLimit `cbor:"27,keyasint,omitempty"`
	// Relays is set if the sender passes on what it gets in envelopes.
	Relays bool `cbor:"30,keyasint,omitempty"`
	// Number counts the heartbeats of the incarnation, 0 in other messages.
	Number int64 `cbor:"31,keyasint,omitempty"`
	// Passed is set in an envelope, which has no other fields but ID and Cell.
	Passed []Passed `cbor:"32,keyasint,omitempty"`
	// Cell is set if the receiver is to pass the messages on to the other members of the cell.
	Cell *Cell `cbor:"33,keyasint,omitempty"`
	// Shares holds the records of Marks while they are sent.
	Shares []Share `cbor:"34,keyasint,omitempty"`
	// Scope is the cache scope in which organisations share context at the sender, if it isn't empty. Entries of an earlier build know the
	// empty one alone.
	Scope string `cbor:"35,keyasint,omitempty"`
	// Usage is sent in datagrams of its own.
	Usage *Usage `cbor:"36,keyasint,omitempty"`
	// Callers lists the services whose callers wait at the sender or arrived lately, where the number of upstreams follows the demand.
	// Entries of an earlier build send none.
	Callers []Callers `cbor:"38,keyasint,omitempty"`
	// Uses and Served are sent now and then by entries that divide engine time between organisations.
	Uses   []OrgUse `cbor:"40,keyasint,omitempty"`
	Served []Served `cbor:"41,keyasint,omitempty"`
}

// Callers counts the requests for a service that wait at the sender, and those that arrived and were refused there in the last second.
type Callers struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Waiting int
	Arrived int
	Refused int
}

// Weights is the version of the weights of a model that an engine has reported.
type Weights struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Model    string
	Version  int64
}

// Socket sends and receives messages.
type Socket struct {
	conn *net.UDPConn
	self string
}

// Listen opens a socket at an address; the address is also the entry's id.
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

// Close closes the socket.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends a message to entries. An entry that can't be reached does not prevent delivery to the others; the errors
// are combined.
func (s *Socket) Send(to []string, m Message) (err error) {
	datagrams, err := Encode(m)
	if err != nil {
		return err
	}
	return s.Write(to, datagrams)
}

// Encode encodes a message as datagrams for [Socket.Write].
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

// Write sends datagrams to entries, except to this one. An entry that can't be reached does not prevent delivery to the
// others; the errors are combined.
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

// maxVerdicts and maxLosses bound the size of one datagram; a verdict has about 200 bytes, a loss 65.
const (
	maxVerdicts = 5
	maxLosses   = 15
)

// maxChanges bounds the size of one datagram, counted in changes of parts of about 13 bytes each.
const maxChanges = 80

// split divides long reports over several messages. The first also carries all other fields of the message.
func split(m Message) (parts []Message) {
	reports, verdicts, losses, limits, rollouts, marks := m.Reports, m.Verdicts, m.Losses, m.Limits, m.Rollouts, m.Marks
	m.Reports, m.Verdicts, m.Losses, m.Limits, m.Rollouts, m.Marks = nil, nil, nil, nil, nil, nil
	parts = []Message{m}
	for _, mark := range marks {
		parts = addMark(parts, m, mark)
	}
	for _, r := range reports {
		for {
			n := min(len(r.Changes), maxChanges)
			chunk := Report{Holder: r.Holder, Epoch: r.Epoch, Changes: r.Changes[:n], AgeMS: r.AgeMS}
			last := &parts[len(parts)-1]
			if size(*last)+n > maxChanges {
				parts = append(parts, m.empty())
				last = &parts[len(parts)-1]
			}
			r.Changes = r.Changes[n:]
			if len(r.Changes) == 0 {
				chunk.Next = r.Next
			}
			last.Reports = append(last.Reports, chunk)
			last.ReportAges, last.ReportNexts = append(last.ReportAges, chunk.AgeMS), append(last.ReportNexts, chunk.Next)
			if len(r.Changes) == 0 {
				break
			}
		}
	}
	for chunk := range slices.Chunk(verdicts, maxVerdicts) {
		part := m.empty()
		part.Verdicts = chunk
		parts = append(parts, part)
	}
	for chunk := range slices.Chunk(losses, maxLosses) {
		part := m.empty()
		part.Losses = chunk
		parts = append(parts, part)
	}
	if len(limits) > 0 {
		part := m.empty()
		part.Limits = limits
		parts = append(parts, part)
	}
	for chunk := range slices.Chunk(rollouts, 1) {
		part := m.empty()
		part.Rollouts = chunk
		parts = append(parts, part)
	}
	return parts
}

// maxShared bounds the records that are sent with one mark, in bytes, unless a single one is longer.
const maxShared = 900

// staleAge is the age of marks before the last of a topic: the topic went on beyond them.
const staleAge = int(time.Hour / time.Millisecond)

// addMark adds a mark with its records to the parts of a message, in as many marks as the records need. Without records, it goes into the
// first part.
func addMark(parts []Message, m Message, mark Mark) (longer []Message) {
	if mark.Share == nil || len(mark.Share.Records) == 0 {
		first := &parts[0]
		first.Marks, first.Shares = append(first.Marks, mark), append(first.Shares, mark.share())
		return parts
	}
	from, records := mark.Share.From, mark.Share.Records
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) {
			if size += len(records[n].Content); n > 0 && size > maxShared {
				break
			}
			n++
		}
		part, one := m.empty(), mark
		part.Era = m.Era
		if n < len(records) {
			one.Next, one.Changed, one.AgeMS = records[n].Offset, records[n-1].Offset+1, staleAge
		}
		part.Marks, part.Shares = []Mark{one}, []Share{{From: from, Records: records[:n]}}
		parts, from, records = append(parts, part), one.Next, records[n:]
	}
	return parts
}

// share returns the records of a mark; without any, those after its last change.
func (m Mark) share() Share {
	if m.Share == nil {
		return Share{From: m.Changed}
	}
	return *m.Share
}

// empty returns a message of the same sender without content.
func (m Message) empty() Message {
	return Message{
		ID: m.ID, Address: m.Address, Zone: m.Zone, State: m.State, Boot: m.Boot, Partitioned: m.Partitioned, Version: m.Version, Relays: m.Relays, Scope: m.Scope, Number: m.Number,
	}
}

// size estimates the size of a message, counted in changes of parts.
func size(m Message) (n int) {
	n = 2*len(m.Loads) + 2*len(m.Peers) + 2*len(m.Saves) + 2*len(m.Prefills) + 2*len(m.Ordered) + 2*len(m.Links) + 2*len(m.Weights) + 2*len(m.Marks) + 2*len(m.Unreachable) + 2*len(m.Contacts) + 2*len(m.Leaving) + 4*len(m.ConcurrencyLimits) + 2*len(m.Callers) + 2*len(m.Uses) + 2*len(m.Served)
	for _, r := range m.Reports {
		n += 3 + len(r.Changes)
	}
	return n
}

// Run calls handle with each message that arrives, until the context ends. It calls fail with errors of receiving and
// decoding, also of parts of a message.
func (s *Socket) Run(ctx context.Context, handle func(Message), fail func(error)) {
	defer context.AfterFunc(ctx, func() { _ = s.conn.Close() })()
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			fail(errors.Wrap(err, "receive datagram"))
			continue
		}
		m, fault, err := Decode(buffer[:n])
		if err != nil {
			fail(err)
			continue
		}
		if fault != nil {
			fail(fault)
		}
		handle(m)
	}
}

// complete moves the ages and positions of reports to the reports, and the records of marks to the marks. Entries of an earlier build send
// none.
func (m *Message) complete() {
	for i := range min(len(m.Marks), len(m.Shares)) {
		m.Marks[i].Share = &m.Shares[i]
	}
	m.Shares = nil
	for i := range min(len(m.Reports), len(m.ReportAges)) {
		m.Reports[i].AgeMS = m.ReportAges[i]
	}
	for i := range min(len(m.Reports), len(m.ReportNexts)) {
		m.Reports[i].Next = m.ReportNexts[i]
	}
	m.ReportAges, m.ReportNexts = nil, nil
}
