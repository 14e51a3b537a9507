package apply

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/roster"
	"cicadavalve/io/peer"
)

const (
	pollInterval  = 10 * time.Millisecond
	statusTimeout = time.Second
)

// wait polls the members until a version is in force on all of them or the context ends, and returns those on
// which it is in force and those on which this is not known. Members that leave the roster are no longer waited for.
func (a *Applier) wait(ctx context.Context, version int64) (inForce, waiting []ident.EntryID) {
	p := &poll{a: a, version: version, inForce: map[ident.BootID]bool{}}
	for ctx.Err() == nil {
		p.refresh(ctx)
		p.queryPending(ctx)
		if len(p.members) > 0 && len(p.pending()) == 0 {
			break
		}
		sleep(ctx, pollInterval)
	}
	inForce, waiting = []ident.EntryID{}, []ident.EntryID{}
	pending := p.pending()
	for _, m := range p.members {
		if slices.Contains(pending, m) {
			waiting = append(waiting, m.Entry)
			continue
		}
		inForce = append(inForce, m.Entry)
	}
	return inForce, waiting
}

// poll queries the members in rounds.
type poll struct {
	a       *Applier
	version int64
	// members are those of the last roster read.
	members []roster.Member
	mu      sync.Mutex
	// inForce holds the incarnations that have reported the version or a later one.
	inForce map[ident.BootID]bool
}

// refresh reads the roster from the contacted entry. The last one stays in use while that entry does not answer.
func (p *poll) refresh(ctx context.Context) {
	requestCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if s, err := peer.NewClient(p.a.client, p.a.address).Status(requestCtx); err == nil {
		p.members = s.Members
	}
}

// pending returns the members that have not reported the version yet.
func (p *poll) pending() []roster.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.members), func(m roster.Member) bool { return p.inForce[m.Incarnation] })
}

// queryPending queries all pending members concurrently.
func (p *poll) queryPending(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var running sync.WaitGroup
	for _, m := range p.pending() {
		running.Go((&statusQuery{p, ctx, m}).run)
	}
	running.Wait()
}

// statusQuery queries the status of one member.
type statusQuery struct {
	p   *poll
	ctx context.Context
	m   roster.Member
}

func (q *statusQuery) run() {
	s, err := peer.NewClient(q.p.a.client, q.m.PeerAddress).Status(q.ctx)
	if err != nil || s.Entry != q.m.Entry || s.Version < q.p.version {
		return
	}
	q.p.mu.Lock()
	defer q.p.mu.Unlock()
	q.p.inForce[q.m.Incarnation] = true
}
