package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"cicadavalve/core/ledger"
	"cicadavalve/io/peer"
)

const (
	stateTimeout = time.Second
	// stateQueueSize bounds the queued queries. A query beyond it is dropped: the fold repeats its command.
	stateQueueSize = 1
)

// stateFetcher fetches the configuration state of other entries, so that an entry can start while the log is down.
type stateFetcher struct {
	d      *Daemon
	client *http.Client
	queue  queue[ledger.AskPeersCmd]
}

func newStateFetcher(d *Daemon) *stateFetcher {
	return &stateFetcher{d: d, client: d.peerClient(), queue: newQueue[ledger.AskPeersCmd](stateQueueSize)}
}

// enqueue never blocks.
func (f *stateFetcher) enqueue(cmd ledger.AskPeersCmd) { f.queue.offer(cmd) }

func (f *stateFetcher) run(ctx context.Context) error {
	defer f.client.CloseIdleConnections()
	return f.queue.run(ctx, f.collect)
}

// collect queries the chosen entries concurrently and posts the states of those that answered.
func (f *stateFetcher) collect(ctx context.Context, cmd ledger.AskPeersCmd) {
	addresses := chooseAddresses(f.peerAddresses(ctx), cmd)
	answers := make(chan *ledger.State, len(addresses))
	for _, address := range addresses {
		q := &stateQuery{f, address, cmd.Above, answers}
		go q.run(ctx)
	}
	msg := ledger.PeerStatesMsg{}
	for range addresses {
		if state := <-answers; state != nil {
			msg.States = append(msg.States, *state)
		}
	}
	if len(msg.States) > 0 {
		f.d.post(ctx, msg)
	}
}

// peerAddresses returns the peer addresses in the settings and the roster, sorted, without duplicates and
// without this entry's own.
func (f *stateFetcher) peerAddresses(ctx context.Context) (known []string) {
	known = append(known, f.d.settings.Peers...)
	f.d.inspect(ctx, func() {
		for _, m := range f.d.node.Roster().Members() {
			known = append(known, m.PeerAddress)
		}
	})
	slices.Sort(known)
	known = slices.Compact(known)
	return slices.DeleteFunc(known, func(a string) bool { return a == f.d.self.PeerAddress })
}

// chooseAddresses returns up to cmd.MaxPeers addresses, starting at cmd.Start and wrapping around; all if MaxPeers is 0.
func chooseAddresses(addresses []string, cmd ledger.AskPeersCmd) (chosen []string) {
	n := len(addresses)
	if cmd.MaxPeers == 0 || cmd.MaxPeers >= n {
		return addresses
	}
	for i := range cmd.MaxPeers {
		chosen = append(chosen, addresses[(int(cmd.Start%uint64(n))+i)%n])
	}
	return chosen
}

// stateQuery fetches the state of one entry; it sends nil on answers if that failed or the entry has no state
// above the offset.
type stateQuery struct {
	fetcher *stateFetcher
	address string
	above   int64
	answers chan<- *ledger.State
}

func (q *stateQuery) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := peer.NewClient(q.fetcher.client, q.address).State(ctx, q.above)
	if err != nil {
		q.fetcher.d.log.Warn("peer_state_failed", "address", q.address, "error", err)
	}
	q.answers <- state
}

// ConfigState implements [peer.Backend].
func (d *Daemon) ConfigState(ctx context.Context) (s ledger.State, current bool) {
	ran := d.inspect(ctx, func() { s, current = d.node.Config().State(), d.node.Config().Current() })
	return s, current && ran
}
