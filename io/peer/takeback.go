package peer

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cicadavalve/core/roll"
	"cicadavalve/io/peer/peerpb"
)

// TakeBack implements the Peer service.
func (h *peerHandler) TakeBack(
	ctx context.Context, req *connect.Request[peerpb.TakeBackRequest],
) (resp *connect.Response[peerpb.TakeBackResponse], err error) {
	var body roll.TakeBackBody
	if err := json.Unmarshal(req.Msg.GetBody(), &body); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	h.backend.RecordTakeBack(ctx, body)
	return connect.NewResponse(&peerpb.TakeBackResponse{}), nil
}

// TakeBack notifies the entry that a weight version was taken back.
func (c *Client) TakeBack(ctx context.Context, body roll.TakeBackBody) (err error) {
	defer func() { err = errors.Wrapf(err, "announce take-back to %s", c.address) }()
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = c.peer.TakeBack(ctx, connect.NewRequest(peerpb.TakeBackRequest_builder{Body: raw}.Build()))
	return err
}
