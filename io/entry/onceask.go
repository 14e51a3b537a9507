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

// positionTimeout bounds the wait for one member.
const positionTimeout = 300 * time.Millisecond

// memberAsker asks the other members how far they have folded the once-only calls.
type memberAsker struct {
	d *Daemon
	// rounds takes one question: the decider asks the next one only after the answers to the last.
	rounds queue[once.AskCmd]
}

func newMemberAsker(d *Daemon) *memberAsker {
	return &memberAsker{d: d, rounds: newQueue[once.AskCmd](1)}
}

// ask never waits; a question that finds no place is answered by the decider's own time limit.
func (a *memberAsker) ask(cmd once.AskCmd) { a.rounds.offer(cmd) }

func (a *memberAsker) run(ctx context.Context) error {
	return a.rounds.run(ctx, func(ctx context.Context, cmd once.AskCmd) { a.d.post(ctx, a.collect(ctx, cmd)) })
}

func (a *memberAsker) collect(ctx context.Context, cmd once.AskCmd) (msg once.PositionsMsg) {
	others, epoch, joined := a.members(ctx)
	msg = once.PositionsMsg{Round: cmd.Round, Answered: true, Epoch: epoch}
	answers := make(chan *peer.Position, len(others))
	for _, m := range others {
		go (&positionQuestion{a, m.PeerAddress, answers}).run(ctx)
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

// members are the other entries of the roster; joined is false while the roster lacks this incarnation.
func (a *memberAsker) members(ctx context.Context) (others []roster.Member, epoch int64, joined bool) {
	a.d.inspect(ctx, func() {
		epoch, joined = a.d.node.Roster().Epoch(), a.d.node.Members().IsMember()
		for _, m := range a.d.node.Roster().Members() {
			if m.Entry != ident.EntryID(a.d.settings.Entry) {
				others = append(others, m)
			}
		}
	})
	return others, epoch, joined
}

// positionQuestion asks one member.
type positionQuestion struct {
	a       *memberAsker
	address string
	answers chan<- *peer.Position
}

func (q *positionQuestion) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, positionTimeout)
	defer cancel()
	p, err := peer.NewClient(q.a.d.stater.client, q.address).OncePosition(ctx)
	if err != nil {
		q.a.d.log.Warn("once_position_failed", "address", q.address, "error", err)
		q.answers <- nil
		return
	}
	q.answers <- &p
}

// OncePosition implements [peer.Backend].
func (d *Daemon) OncePosition(ctx context.Context) (p peer.Position, err error) {
	ran := d.inspect(ctx, func() {
		p = peer.Position{Next: d.node.Once().Next(), Known: d.node.Once().Known(), Epoch: d.node.Roster().Epoch()}
	})
	if !ran {
		return p, errors.Wrap(ctx.Err(), "once position")
	}
	return p, nil
}
