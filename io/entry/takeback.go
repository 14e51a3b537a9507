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
	takeBackTimeout   = time.Second
	takeBackQueueSize = 16
	// maxTakeBackRequests is the maximum number of peers notified concurrently.
	maxTakeBackRequests = 8
)

// takeBackNotifier notifies every peer of versions taken back, so that they stop using them even while
// the log is down. A peer that is not reached reads it from the log.
type takeBackNotifier struct {
	d      *Daemon
	client *http.Client
	queue  queue[roll.TakeBackBody]
}

func newTakeBackNotifier(d *Daemon) *takeBackNotifier {
	return &takeBackNotifier{d: d, client: d.peerClient(), queue: newQueue[roll.TakeBackBody](takeBackQueueSize)}
}

// enqueue never blocks.
func (n *takeBackNotifier) enqueue(body roll.TakeBackBody) {
	if !n.queue.offer(body) {
		n.d.log.Warn("take_back_not_told", "move", body.Move)
	}
}

func (n *takeBackNotifier) run(ctx context.Context) error {
	defer n.client.CloseIdleConnections()
	return n.queue.run(ctx, n.notifyAll)
}

func (n *takeBackNotifier) notifyAll(ctx context.Context, body roll.TakeBackBody) {
	var group errgroup.Group
	group.SetLimit(maxTakeBackRequests)
	for _, address := range n.d.stateFetcher.peerAddresses(ctx) {
		group.Go(func() error {
			if err := n.notify(ctx, address, body); err != nil {
				n.d.log.Warn("take_back_not_told", "move", body.Move, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (n *takeBackNotifier) notify(ctx context.Context, address string, body roll.TakeBackBody) error {
	ctx, cancel := context.WithTimeout(ctx, takeBackTimeout)
	defer cancel()
	return peer.NewClient(n.client, address).TakeBack(ctx, body)
}

// RecordTakeBack implements [peer.Backend].
func (d *Daemon) RecordTakeBack(ctx context.Context, body roll.TakeBackBody) {
	d.post(ctx, roll.PeerTakeBackMsg{Body: body})
}
