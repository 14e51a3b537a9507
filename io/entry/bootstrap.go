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
	// stateQueue bounds the questions that wait; one more is dropped, since the fold asks again.
	stateQueue = 1
)

// stater asks other entries for their state, so that an entry can start while the log is away.
type stater struct {
	d      *Daemon
	client *http.Client
	asks   queue[ledger.AskPeersCmd]
}

func newStater(d *Daemon) *stater {
	return &stater{d: d, client: d.peerClient(), asks: newQueue[ledger.AskPeersCmd](stateQueue)}
}

// ask never waits.
func (s *stater) ask(cmd ledger.AskPeersCmd) { s.asks.offer(cmd) }

func (s *stater) run(ctx context.Context) error {
	defer s.client.CloseIdleConnections()
	return s.asks.run(ctx, s.collect)
}

// collect asks the chosen entries at once and hands on the states of those that answered.
func (s *stater) collect(ctx context.Context, cmd ledger.AskPeersCmd) {
	addresses := choose(s.addresses(ctx), cmd)
	answers := make(chan *ledger.State, len(addresses))
	for _, address := range addresses {
		q := &stateQuestion{s, address, cmd.Above, answers}
		go q.run(ctx)
	}
	msg := ledger.PeerStatesMsg{}
	for range addresses {
		if state := <-answers; state != nil {
			msg.States = append(msg.States, *state)
		}
	}
	if len(msg.States) > 0 {
		s.d.post(ctx, msg)
	}
}

// addresses are the peer addresses of the settings and of the roster, in order and without this entry's own.
func (s *stater) addresses(ctx context.Context) (known []string) {
	known = append(known, s.d.settings.Peers...)
	s.d.inspect(ctx, func() {
		for _, m := range s.d.node.Roster().Members() {
			known = append(known, m.PeerAddress)
		}
	})
	slices.Sort(known)
	known = slices.Compact(known)
	return slices.DeleteFunc(known, func(a string) bool { return a == s.d.self.PeerAddress })
}

// choose takes as many addresses as the fold asks for, beginning at its random start.
func choose(addresses []string, cmd ledger.AskPeersCmd) (chosen []string) {
	n := len(addresses)
	if cmd.Most == 0 || cmd.Most >= n {
		return addresses
	}
	for i := range cmd.Most {
		chosen = append(chosen, addresses[(int(cmd.Start%uint64(n))+i)%n])
	}
	return chosen
}

// stateQuestion asks one entry for its state.
type stateQuestion struct {
	s       *stater
	address string
	above   int64
	answers chan<- *ledger.State
}

func (q *stateQuestion) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := peer.NewClient(q.s.client, q.address).State(ctx, q.above)
	if err != nil {
		q.s.d.log.Warn("peer_state_failed", "address", q.address, "error", err)
	}
	q.answers <- state
}

// ConfigState implements [peer.Backend].
func (d *Daemon) ConfigState(ctx context.Context) (s ledger.State, current bool) {
	ran := d.inspect(ctx, func() { s, current = d.node.Config().State(), d.node.Config().Current() })
	return s, current && ran
}
