package entry

import (
	"context"

	"cicadavalve/core/roster"
	"cicadavalve/io/peer"
)

// rosterFetcher fetches the roster's state from other entries when the log has lost records that
// this entry needs.
type rosterFetcher struct {
	d *Daemon
	// queue has room for one command. One beyond it is dropped: the fold repeats it.
	queue queue[roster.AskPeersCmd]
}

func newRosterFetcher(d *Daemon) *rosterFetcher {
	return &rosterFetcher{d: d, queue: newQueue[roster.AskPeersCmd](1)}
}

// enqueue never blocks.
func (f *rosterFetcher) enqueue(cmd roster.AskPeersCmd) { f.queue.offer(cmd) }

func (f *rosterFetcher) run(ctx context.Context) error { return f.queue.run(ctx, f.collect) }

// collect queries all known entries concurrently and posts the states that are ahead of this entry's.
func (f *rosterFetcher) collect(ctx context.Context, cmd roster.AskPeersCmd) {
	addresses := f.d.stateFetcher.peerAddresses(ctx)
	answers := make(chan roster.State, len(addresses))
	for _, address := range addresses {
		go (&rosterQuery{f, address, answers}).run(ctx)
	}
	msg := roster.PeerStatesMsg{}
	for range addresses {
		if s := <-answers; s.Next > cmd.Above {
			msg.States = append(msg.States, s)
		}
	}
	if len(msg.States) > 0 {
		f.d.post(ctx, msg)
	}
}

// rosterQuery fetches the roster's state from one entry; it sends an empty state on answers if that failed.
type rosterQuery struct {
	fetcher *rosterFetcher
	address string
	answers chan<- roster.State
}

func (q *rosterQuery) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var s roster.State
	if err := peer.NewClient(q.fetcher.d.stateFetcher.client, q.address).Show(ctx, subjectRoster, "", &s); err != nil {
		q.fetcher.d.log.Warn("peer_roster_failed", "address", q.address, "error", err)
	}
	q.answers <- s
}
