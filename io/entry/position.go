package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/once"
	"cicadavalve/core/roster"
	"cicadavalve/io/peer"
)

// positionTimeout bounds one query of a member's position.
const positionTimeout = 300 * time.Millisecond

// positionFetcher queries the offsets up to which the other members have folded the once-only calls.
type positionFetcher struct {
	d *Daemon
	// queue has room for one command: the state machine sends the next one only after the result of the last.
	queue queue[once.AskCmd]
}

func newPositionFetcher(d *Daemon) *positionFetcher {
	return &positionFetcher{d: d, queue: newQueue[once.AskCmd](1)}
}

// enqueue never blocks. A command that does not fit into the queue is dropped; the state machine's own timeout covers
// it.
func (f *positionFetcher) enqueue(cmd once.AskCmd) { f.queue.offer(cmd) }

func (f *positionFetcher) run(ctx context.Context) error {
	return f.queue.run(ctx, func(ctx context.Context, cmd once.AskCmd) { f.d.post(ctx, f.collect(ctx, cmd)) })
}

func (f *positionFetcher) collect(ctx context.Context, cmd once.AskCmd) (msg once.PositionsMsg) {
	others, epoch, joined := f.members(ctx)
	msg = once.PositionsMsg{Round: cmd.Round, Answered: true, Epoch: epoch}
	answers := make(chan *peer.OncePosition, len(others))
	for _, m := range others {
		go (&positionQuery{f, m.PeerAddress, answers}).run(ctx)
	}
	msg.All = joined
	for range others {
		p := <-answers
		if p == nil {
			msg.All, msg.Answered = false, false
			continue
		}
		msg.Epoch = min(msg.Epoch, p.Epoch)
		msg.All = msg.All && p.Known && p.Epoch <= epoch
		msg.Next = max(msg.Next, p.Next)
	}
	return msg
}

// members returns the other entries in the roster and its epoch; joined is false if this incarnation is not in it.
func (f *positionFetcher) members(ctx context.Context) (others []roster.Member, epoch int64, joined bool) {
	f.d.inspect(ctx, func() {
		epoch, joined = f.d.node.Roster().Epoch(), f.d.node.Members().IsMember()
		for _, m := range f.d.node.Roster().Members() {
			if m.Entry != ident.EntryID(f.d.settings.Entry) {
				others = append(others, m)
			}
		}
	})
	return others, epoch, joined
}

// positionQuery fetches the position of one member; it sends nil on answers if that failed.
type positionQuery struct {
	fetcher *positionFetcher
	address string
	answers chan<- *peer.OncePosition
}

func (q *positionQuery) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, positionTimeout)
	defer cancel()
	p, err := peer.NewClient(q.fetcher.d.stateFetcher.client, q.address).OncePosition(ctx)
	if err != nil {
		q.fetcher.d.log.Warn("once_position_failed", "address", q.address, "error", err)
		q.answers <- nil
		return
	}
	q.answers <- &p
}

// OncePosition implements [peer.Backend].
func (d *Daemon) OncePosition(ctx context.Context) (p peer.OncePosition, err error) {
	ran := d.inspect(ctx, func() {
		p = peer.OncePosition{Next: d.node.Once().Next(), Known: d.node.Once().Ready(), Epoch: d.node.Roster().Epoch()}
	})
	if !ran {
		return p, errors.Wrap(ctx.Err(), "once position")
	}
	return p, nil
}
