// Package peer implements the protocol between entries, and between operators and entries.
package peer

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/roll"
	"cicadavalve/core/roster"
	"cicadavalve/core/rules"
	"cicadavalve/io/peer/peerpb"
	"cicadavalve/io/peer/peerpb/peerpbconnect"
)

// Status is the state that an entry reports of itself.
type Status struct {
	Entry ident.EntryID
	Zone  ident.Zone
	// Version is the configuration version in force, or 0 before the entry has caught up with the log.
	Version  int64
	Operator string
	Text     string
	Digest   uint64
	Ready    bool
	Members  []roster.Member
}

// Backend handles the requests of operators and of other entries.
type Backend interface {
	// Propose appends a configuration to the log and returns the outcome that its fold decides, or
	// [ledger.NotKnownYet].
	Propose(ctx context.Context, id string, body ledger.ConfigBody) (ledger.Outcome, error)
	// Status returns what is in force.
	Status(ctx context.Context) (Status, error)
	Neighbour
	// Show returns the document about a subject, to be encoded as JSON. It fails with ErrUnknownSubject for an
	// unknown subject.
	Show(ctx context.Context, subject, argument string) (document any, err error)
	// ConfigState returns the state of the configuration's fold; current is false if the entry must not pass it on.
	ConfigState(ctx context.Context) (s ledger.State, current bool)
	// RecordTakeBack records that a peer has taken a weight version back.
	RecordTakeBack(ctx context.Context, body roll.TakeBackBody)
	// OncePosition returns how far the entry has folded the log of once-only calls.
	OncePosition(ctx context.Context) (OncePosition, error)
}

// ErrUnknownSubject means that an entry has no document about the requested subject.
var ErrUnknownSubject = errors.New("unknown subject")

// handler implements the Operator service; the embedded type answers methods that it lacks as unimplemented.
type handler struct {
	peerpbconnect.UnimplementedOperatorHandler
	backend Backend
}

// NewHandler returns an HTTP handler for all services of the protocol.
func NewHandler(backend Backend) http.Handler {
	mux := http.NewServeMux()
	compress, limit := connect.WithCompressMinBytes(minCompressedBytes), connect.WithReadMaxBytes(maxMessage)
	mux.Handle(peerpbconnect.NewOperatorHandler(&handler{backend: backend}, compress, limit))
	mux.Handle(peerpbconnect.NewPeerHandler(&peerHandler{backend: backend}, compress, limit))
	mux.Handle(peerpbconnect.NewOnceHandler(&onceHandler{backend: backend}, compress, limit))
	return mux
}

// minCompressedBytes is the size from which a response is compressed.
const minCompressedBytes = 1 << 10

// Propose implements the Operator service.
func (h *handler) Propose(
	ctx context.Context, req *connect.Request[peerpb.ProposeRequest],
) (resp *connect.Response[peerpb.ProposeResponse], err error) {
	if _, faults := rules.Parse(req.Msg.GetText()); len(faults) > 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, faults[0])
	}
	if req.Msg.GetId() == "" || req.Msg.GetOperator() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("expected an id and an operator"))
	}
	body := ledger.ConfigBody{Base: req.Msg.GetBase(), Operator: req.Msg.GetOperator(), Text: req.Msg.GetText()}
	outcome, err := h.backend.Propose(ctx, req.Msg.GetId(), body)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(peerpb.ProposeResponse_builder{
		Verdict: string(outcome.Verdict), Version: outcome.Version, Winner: outcome.Winner,
	}.Build()), nil
}

// Show implements the Operator service.
func (h *handler) Show(
	ctx context.Context, req *connect.Request[peerpb.ShowRequest],
) (resp *connect.Response[peerpb.ShowResponse], err error) {
	document, err := h.backend.Show(ctx, req.Msg.GetSubject(), req.Msg.GetArgument())
	if errors.Is(err, ErrUnknownSubject) {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	raw, err := json.Marshal(document)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(peerpb.ShowResponse_builder{Json: raw}.Build()), nil
}

// Status implements the Operator service.
func (h *handler) Status(
	ctx context.Context, _ *connect.Request[peerpb.StatusRequest],
) (resp *connect.Response[peerpb.StatusResponse], err error) {
	s, err := h.backend.Status(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	var members []*peerpb.Member
	for _, m := range s.Members {
		members = append(members, encodeMember(m))
	}
	return connect.NewResponse(peerpb.StatusResponse_builder{
		Entry: string(s.Entry), Zone: string(s.Zone), Version: s.Version, Operator: s.Operator,
		Text: s.Text, Digest: s.Digest, Ready: s.Ready, Members: members,
	}.Build()), nil
}
