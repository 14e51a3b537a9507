package relay

import (
	"context"
	"maps"
	"net/http"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/conf"
	"cicadavalve/core/place"
	"cicadavalve/core/retry"
	"cicadavalve/io/clock"
	"cicadavalve/io/link"
	"cicadavalve/io/port"
)

// An entry that does not reach the upstreams that a request needs hands it over to another entry, which answers it as if it
// were its caller's. That entry doesn't hand it over again. What was handed over with an unknown end is not sent again.

const (
	// maxUnreached is the number of failures to connect after which a request is handed over whatever is known of the links.
	maxUnreached = 2
	// maxPeers bounds the entries to which one request is offered.
	maxPeers = 2
)

// Lack is how many links to the upstreams of a service an entry must have lost for a request to be handed over.
type Lack int

// The steps from none to most.
const (
	// LacksNothing applies to requests that failed to reach their upstreams.
	LacksNothing Lack = iota
	// LacksSome applies to requests that this entry would refuse.
	LacksSome
	// LacksMost applies to all requests.
	LacksMost
)

// refusedLack returns what applies to a request that this entry would refuse.
func (x *exchange) refusedLack() Lack {
	if x.unreached > 0 {
		return LacksNothing
	}
	return LacksSome
}

// unreachedLack returns what applies to a request whose attempt found no connection.
func (x *exchange) unreachedLack() Lack {
	if x.unreached >= maxUnreached {
		return LacksNothing
	}
	return LacksMost
}

// Handovers returns the handler of requests that other entries hand over.
func (h *Handler) Handovers() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handover, err := h.dialect.Handover(r.Header)
		if err != nil {
			h.log.Info("handover_unreadable", "error", err)
			h.dialect.Refuse(w.Header(), r.Header.Get(h.dialect.IDHeader()), -1)
			// The other entry passes this on. The request may have run there, and its caller did nothing wrong.
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		h.serve(w, r, &handover)
	})
}

// handOver hands the request over if another entry should serve it, and reports whether the request has ended so. Placed is
// set if it was placed here before.
func (x *exchange) handOver(ctx context.Context, lack Lack, placed bool) (ended bool) {
	if x.handed != nil {
		return false
	}
	for len(x.peers) < maxPeers && ctx.Err() == nil {
		peer, ok := x.h.controller.Peer(x.need.Service, lack, x.peers)
		if !ok {
			return false
		}
		if placed {
			x.h.controller.End(x.need.Ticket, place.Rejected)
		}
		x.peers = append(x.peers, peer)
		x.h.log.Info("request_handed_over", "request", x.head.ID, "to", peer, "unreached", x.unreached, "runs", x.history.Runs)
		res, sent := x.askPeer(ctx, peer, placed)
		if sent || ctx.Err() == nil {
			x.h.controller.ObservePeer(peer, sent)
		}
		if !sent {
			x.h.log.Info("handover_failed", "request", x.head.ID, "to", peer, "cause", errorText(x.cause))
			continue
		}
		switch {
		case res.done:
		case ctx.Err() != nil:
			x.expire(ctx, true)
		default:
			x.history.Runs++
			x.finish(res)
		}
		return true
	}
	return false
}

// beganElsewhere reports whether the entry that handed the request over had received the beginning of an answer to it.
func (x *exchange) beganElsewhere() bool {
	return x.handed != nil && x.handed.Runs > 0 && x.head.LastEvent != ""
}

// askPeer sends the request to another entry and relays its answer, the entry's own answers included. sent is false if no byte of
// the request was written.
func (x *exchange) askPeer(ctx context.Context, peer string, counted bool) (res result, sent bool) {
	x.held.release()
	x.sentAt, x.progress, x.answer, x.events = clock.Now(), gotNothing, nil, 0
	handover := port.Handover{
		By: x.h.self, Runs: x.history.Runs, Counted: counted, Timeout: clock.Until(x.deadline), LastEvent: x.lastEvent,
	}
	header := x.h.dialect.HandOver(x.r.Header, handover)
	answer, err := x.h.pool.Do(ctx, peer, link.Request{
		Method: x.r.Method, Target: target(x.r), Host: x.r.Host, Header: header,
		Body: x.body, HasBody: x.hasBody, IDHeader: x.h.dialect.IDHeader(), ID: x.head.ID,
		Approve: func() bool {
			if clock.Since(x.sentAt) >= maxDecisionAge {
				handover.Timeout = clock.Until(x.deadline)
				maps.Copy(header, x.h.dialect.HandOver(x.r.Header, handover))
			}
			return x.isAwaited()
		},
	})
	if err != nil {
		x.cause = err
		return result{}, !errors.Is(err, link.ErrNotSent) && !errors.Is(err, link.ErrWithdrawn)
	}
	defer answer.Close()
	x.progress, x.answer = gotHead, answer
	if answer.Framing == link.ByConnection {
		// Entries mark the ends of their answers.
		x.cause = errors.New("answer of an entry without a marked end")
		return result{ending: retry.Unknown}, true
	}
	signed := x.h.dialect.Reply(answer.Status, answer.Header).Signed
	if signed && x.route.Kind == conf.Stream && answer.Status < http.StatusMultipleChoices {
		return x.relayStream(ctx, nil, answer), true
	}
	return x.relayPlain(ctx, nil, answer), true
}
