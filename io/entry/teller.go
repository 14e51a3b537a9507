package entry

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadavalve/core/roll"
	"cicadavalve/io/peer"
)

const (
	tellTimeout = time.Second
	tellQueue   = 16
	// mostTold bounds the peers that are told at once.
	mostTold = 8
)

// teller tells every peer of versions taken back, so that they stop while the log is away.
// A peer that is missed hears it from the log.
type teller struct {
	d      *Daemon
	client *http.Client
	bodies queue[roll.TakeBackBody]
}

func newTeller(d *Daemon) *teller {
	return &teller{d: d, client: d.peerClient(), bodies: newQueue[roll.TakeBackBody](tellQueue)}
}

// tell never waits.
func (t *teller) tell(body roll.TakeBackBody) {
	if !t.bodies.offer(body) {
		t.d.log.Warn("take_back_not_told", "move", body.Move)
	}
}

func (t *teller) run(ctx context.Context) error {
	defer t.client.CloseIdleConnections()
	return t.bodies.run(ctx, t.tellAll)
}

func (t *teller) tellAll(ctx context.Context, body roll.TakeBackBody) {
	var group errgroup.Group
	group.SetLimit(mostTold)
	for _, address := range t.d.stater.addresses(ctx) {
		group.Go(func() error {
			if err := t.tellOne(ctx, address, body); err != nil {
				t.d.log.Warn("take_back_not_told", "move", body.Move, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (t *teller) tellOne(ctx context.Context, address string, body roll.TakeBackBody) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return peer.NewClient(t.client, address).TakeBack(ctx, body)
}

// TakenBack implements [peer.Backend].
func (d *Daemon) TakenBack(ctx context.Context, body roll.TakeBackBody) {
	d.post(ctx, roll.PeerTakeBackMsg{Body: body})
}
