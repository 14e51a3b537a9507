package entry

import (
	"context"

	"cicadavalve/core/roster"
	"cicadavalve/io/peer"
)

// rosterAsker asks other entries for the state of the roster where the log has lost records that
// this entry needs.
type rosterAsker struct {
	d *Daemon
	// asks takes one question: the fold asks again.
	asks queue[roster.AskPeersCmd]
}

func newRosterAsker(d *Daemon) *rosterAsker {
	return &rosterAsker{d: d, asks: newQueue[roster.AskPeersCmd](1)}
}

// ask never waits.
func (a *rosterAsker) ask(cmd roster.AskPeersCmd) { a.asks.offer(cmd) }

func (a *rosterAsker) run(ctx context.Context) error { return a.asks.run(ctx, a.collect) }

// collect asks all known entries at once and hands on the states that are ahead.
func (a *rosterAsker) collect(ctx context.Context, cmd roster.AskPeersCmd) {
	addresses := a.d.stater.addresses(ctx)
	answers := make(chan roster.State, len(addresses))
	for _, address := range addresses {
		go (&rosterQuestion{a, address, answers}).run(ctx)
	}
	msg := roster.PeerStatesMsg{}
	for range addresses {
		if s := <-answers; s.Next > cmd.Above {
			msg.States = append(msg.States, s)
		}
	}
	if len(msg.States) > 0 {
		a.d.post(ctx, msg)
	}
}

// rosterQuestion asks one entry; the state is empty where it did not answer.
type rosterQuestion struct {
	a       *rosterAsker
	address string
	answers chan<- roster.State
}

func (q *rosterQuestion) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var s roster.State
	if err := peer.NewClient(q.a.d.stater.client, q.address).Show(ctx, subjectRoster, "", &s); err != nil {
		q.a.d.log.Warn("peer_roster_failed", "address", q.address, "error", err)
	}
	q.answers <- s
}
