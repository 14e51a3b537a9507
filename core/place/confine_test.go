package place

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
	"cicadavalve/core/fleet"
	"cicadavalve/core/ident"
	"cicadavalve/core/parts"
)

// faultySource is a source of randomness that panics while armed, at most once.
type faultySource struct {
	rand.Source
	armed bool
}

// Uint64 implements [rand.Source].
func (s *faultySource) Uint64() uint64 {
	if s.armed {
		s.armed = false
		panic("brought about")
	}
	return s.Source.Uint64()
}

var confineStart = time.Unix(1000, 0)

// newFaultyModel returns a model whose random choices panic on demand, with one engine that takes one request at a time.
func newFaultyModel() (*Model, *faultySource) {
	source := &faultySource{Source: rand.NewPCG(1, 1)}
	upstreams := fleet.NewModel()
	m := NewModel(upstreams, parts.NewIndex(), rand.New(source))
	m.SetConfig(conf.NewSet(conf.Data{Services: []conf.Service{{Name: "llm", Engine: &conf.Engine{Slots: 1, Memory: 100, TokenSize: 1, Link: 1e9}}}}))
	m.SetMembers(Members{Self: "self", Sharers: []string{"self"}})
	upstreams.Update(confineStart, fleet.ListedMsg{Upstream: conf.Upstream{ID: "e", Service: "llm", Address: "e", Slots: 1, Weights: map[ident.ModelName]int64{"m": 1}}})
	return m, source
}

func confineNeed(ticket Ticket) Need {
	return Need{
		Ticket: ticket, Service: "llm", Model: "m", Arrived: confineStart, Objective: time.Second, Deadline: confineStart.Add(10 * time.Second),
		Chain: []conf.Part{{ID: "doc", Tokens: 40}, {ID: "own", Tokens: 20}},
	}
}

// decided returns the tickets of the commands by their kind, and whether each panic has its cause and stack.
func decided(cmds []ident.Cmd) (sent, failed []Ticket, described bool) {
	described = true
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case SendCmd:
			sent = append(sent, cmd.Ticket)
		case PanicCmd:
			failed = append(failed, cmd.Ticket)
			described = described && cmd.Cause != "" && strings.Contains(cmd.Stack, "place.go")
		}
	}
	return sent, failed, described
}

// TestPanicInPlacementEndsOneRequest brings about a panic in the placement of the first of three waiting requests, which
// the end of another one has started. The other two are placed all the same.
func TestPanicInPlacementEndsOneRequest(t *testing.T) {
	m, source := newFaultyModel()
	var cmds []ident.Cmd
	for ticket := range Ticket(4) {
		cmds = append(cmds, m.Update(confineStart, ArriveMsg{Need: confineNeed(ticket + 1)})...)
	}
	source.armed = true
	for ticket := range Ticket(3) {
		cmds = append(cmds, m.Update(confineStart, EndMsg{Ticket: ticket + 1})...)
	}
	cmds = append(cmds, m.Update(confineStart, EndMsg{Ticket: 4})...)
	sent, failed, described := decided(cmds)
	if diff := cmp.Diff([][]Ticket{{1, 3, 4}, {2}}, [][]Ticket{sent, failed}); diff != "" || !described {
		t.Errorf("sent and failed (-want +got), described %v:\n%s", described, diff)
	}
	if len(m.Loads()) > 0 || m.Waiting() > 0 || len(m.sent) > 0 {
		t.Errorf("left: loads %+v, %d waiting, %d under way", m.Loads(), m.Waiting(), len(m.sent))
	}
}

// TestPanicAfterLoadWasCountedTakesItBack brings about the panic of a plain call with shared parts, which comes after the
// request has been counted at its upstream.
func TestPanicAfterLoadWasCountedTakesItBack(t *testing.T) {
	m, _ := newFaultyModel()
	need := confineNeed(1)
	upstream, _ := m.fleet.Get("e")
	var cmds []ident.Cmd
	func() {
		defer m.confine(need.Ticket, &cmds)
		m.send(confineStart, need, &need, &option{upstream: &upstream})
	}()
	if _, failed, described := decided(cmds); !cmp.Equal([]Ticket{1}, failed) || !described {
		t.Errorf("failed %v, described %v", failed, described)
	}
	if len(m.Loads()) > 0 || len(m.sent) > 0 {
		t.Errorf("left: loads %+v, %d under way", m.Loads(), len(m.sent))
	}
}
