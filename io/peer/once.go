package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cicadavalve/io/peer/peerpb"
	"cicadavalve/io/peer/peerpb/peerpbconnect"
)

// OncePosition is how far an entry has folded the log of once-only calls.
type OncePosition struct {
	// Next is the offset of the first record not folded yet; an entry sends only calls that it has folded.
	Next int64
	// Known is false while the entry cannot determine which keys are in use.
	Known bool
	// Epoch is the number of the member set that the entry has folded.
	Epoch int64
}

// onceHandler implements the Once service; the embedded type answers methods that it lacks as unimplemented.
type onceHandler struct {
	peerpbconnect.UnimplementedOnceHandler
	backend Backend
}

// Position implements the Once service.
func (h *onceHandler) Position(
	ctx context.Context, _ *connect.Request[peerpb.PositionRequest],
) (resp *connect.Response[peerpb.PositionResponse], err error) {
	p, err := h.backend.OncePosition(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(peerpb.PositionResponse_builder{Next: p.Next, Known: p.Known, Epoch: p.Epoch}.Build()), nil
}

// OncePosition returns how far the entry has folded the log of once-only calls.
func (c *Client) OncePosition(ctx context.Context) (p OncePosition, err error) {
	defer func() { err = errors.Wrapf(err, "once position of %s", c.address) }()
	resp, err := c.once.Position(ctx, connect.NewRequest(&peerpb.PositionRequest{}))
	if err != nil {
		return p, err
	}
	return OncePosition{resp.Msg.GetNext(), resp.Msg.GetKnown(), resp.Msg.GetEpoch()}, nil
}
