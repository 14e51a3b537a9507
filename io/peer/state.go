package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cicadavalve/core/ledger"
	"cicadavalve/io/peer/peerpb"
	"cicadavalve/io/peer/peerpb/peerpbconnect"
)

// peerHandler implements the Peer service; the embedded type answers methods that it lacks as unimplemented.
type peerHandler struct {
	peerpbconnect.UnimplementedPeerHandler
	backend Backend
}

// ErrNotCurrent means that an entry has no state that it may pass on.
var ErrNotCurrent = errors.New("the entry has not caught up with the log")

// State implements the Peer service.
func (h *peerHandler) State(
	ctx context.Context, req *connect.Request[peerpb.StateRequest],
) (resp *connect.Response[peerpb.StateResponse], err error) {
	state, current := h.backend.ConfigState(ctx)
	if !current {
		return nil, connect.NewError(connect.CodeUnavailable, ErrNotCurrent)
	}
	body := peerpb.StateResponse_builder{Next: state.Next, Digest: state.Digest}.Build()
	if state.Next > req.Msg.GetAbove() {
		body.SetConfig(state.Encode())
	}
	return connect.NewResponse(body), nil
}

// State returns the entry's configuration state, or nil if the entry has folded no record at offset above or later.
func (c *Client) State(ctx context.Context, above int64) (state *ledger.State, err error) {
	defer func() { err = errors.Wrapf(err, "state of %s", c.address) }()
	resp, err := c.peer.State(ctx, connect.NewRequest(peerpb.StateRequest_builder{Above: above}.Build()))
	if err != nil || len(resp.Msg.GetConfig()) == 0 {
		return nil, err
	}
	decoded, err := ledger.DecodeState(resp.Msg.GetConfig())
	if err != nil {
		return nil, err
	}
	return &decoded, nil
}
