package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/limit"
	"cicadavalve/core/roster"
	"cicadavalve/io/peer/peerpb"
)

// Neighbour handles the requests of other entries.
type Neighbour interface {
	// ExchangeRoster applies the membership message of another entry and returns the one of this entry.
	ExchangeRoster(ctx context.Context, received roster.HeardMsg) (own roster.HeardMsg, err error)
	// Settled reports whether this entry has released the slots that it no longer owns; the message has epoch 0
	// while it has not.
	Settled(ctx context.Context, upstream ident.UpstreamID) (limit.SettledMsg, error)
}

// Ping implements the Peer service.
func (h *peerHandler) Ping(
	ctx context.Context, req *connect.Request[peerpb.PingRequest],
) (resp *connect.Response[peerpb.PingResponse], err error) {
	received := roster.HeardMsg{
		From: decodeMember(req.Msg.GetFrom()), Accusations: decodeAccusations(req.Msg.GetAccusations()),
	}
	own, err := h.backend.ExchangeRoster(ctx, received)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(peerpb.PingResponse_builder{
		From: encodeMember(own.From), Leaving: own.Leaving, Accusations: encodeAccusations(own.Accusations),
	}.Build()), nil
}

// Leave implements the Peer service.
func (h *peerHandler) Leave(
	ctx context.Context, req *connect.Request[peerpb.LeaveRequest],
) (resp *connect.Response[peerpb.LeaveResponse], err error) {
	_, err = h.backend.ExchangeRoster(ctx, roster.HeardMsg{From: decodeMember(req.Msg.GetFrom()), Leaving: true})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerpb.LeaveResponse{}), nil
}

// Settle implements the Peer service.
func (h *peerHandler) Settle(
	ctx context.Context, req *connect.Request[peerpb.SettleRequest],
) (resp *connect.Response[peerpb.SettleResponse], err error) {
	s, err := h.backend.Settled(ctx, ident.UpstreamID(req.Msg.GetUpstream()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(peerpb.SettleResponse_builder{
		Entry: string(s.From.Entry), Incarnation: string(s.From.Incarnation), Epoch: s.Epoch, Boot: string(s.Boot),
	}.Build()), nil
}

// Ping exchanges membership messages with the entry; an answer shows that it is alive.
func (c *Client) Ping(
	ctx context.Context, self roster.Member, accusations []roster.Accusation,
) (reply roster.HeardMsg, err error) {
	defer func() { err = errors.Wrapf(err, "ping %s", c.address) }()
	req := peerpb.PingRequest_builder{From: encodeMember(self), Accusations: encodeAccusations(accusations)}.Build()
	resp, err := c.peer.Ping(ctx, connect.NewRequest(req))
	if err != nil {
		return reply, err
	}
	return roster.HeardMsg{
		From: decodeMember(resp.Msg.GetFrom()), Leaving: resp.Msg.GetLeaving(),
		Accusations: decodeAccusations(resp.Msg.GetAccusations()),
	}, nil
}

// Leave notifies the entry that self is leaving.
func (c *Client) Leave(ctx context.Context, self roster.Member) (err error) {
	defer func() { err = errors.Wrapf(err, "leave at %s", c.address) }()
	_, err = c.peer.Leave(ctx, connect.NewRequest(peerpb.LeaveRequest_builder{From: encodeMember(self)}.Build()))
	return err
}

// Settle asks the entry whether it has released the slots that it no longer owns; the message has epoch 0 while it
// has not.
func (c *Client) Settle(ctx context.Context, upstream ident.UpstreamID) (s limit.SettledMsg, err error) {
	defer func() { err = errors.Wrapf(err, "settle at %s", c.address) }()
	req := peerpb.SettleRequest_builder{Upstream: string(upstream)}.Build()
	resp, err := c.peer.Settle(ctx, connect.NewRequest(req))
	if err != nil {
		return s, err
	}
	from := limit.Holder{
		Entry: ident.EntryID(resp.Msg.GetEntry()), Incarnation: ident.BootID(resp.Msg.GetIncarnation()),
	}
	return limit.SettledMsg{
		From: from, Epoch: resp.Msg.GetEpoch(), Upstream: upstream, Boot: ident.BootID(resp.Msg.GetBoot()),
	}, nil
}
