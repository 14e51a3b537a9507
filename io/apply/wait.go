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
	statusPoll  = 10 * time.Millisecond
	statusLimit = time.Second
)

// wait splits the members into those on which a version is in force and those on which that
// is not known when the context ends. A member that leaves the roster meanwhile is no longer waited for.
func (a *Applier) wait(ctx context.Context, version int64) (inForce, waiting []ident.EntryID) {
	p := &poll{a: a, version: version, inForce: map[ident.BootID]bool{}}
	for ctx.Err() == nil {
		p.refresh(ctx)
		p.ask(ctx)
		if len(p.members) > 0 && len(p.open()) == 0 {
			break
		}
		sleep(ctx, statusPoll)
	}
	inForce, waiting = []ident.EntryID{}, []ident.EntryID{}
	open := p.open()
	for _, m := range p.members {
		if slices.Contains(open, m) {
			waiting = append(waiting, m.Entry)
			continue
		}
		inForce = append(inForce, m.Entry)
	}
	return inForce, waiting
}

// poll asks the members in rounds.
type poll struct {
	a       *Applier
	version int64
	// members are those of the last roster that was read.
	members []roster.Member
	mu      sync.Mutex
	// inForce holds the incarnations that have answered with the version or a later one.
	inForce map[ident.BootID]bool
}

// refresh reads the roster from the asked entry; the last one counts while that entry is away.
func (p *poll) refresh(ctx context.Context) {
	asking, cancel := context.WithTimeout(ctx, statusLimit)
	defer cancel()
	if s, err := peer.NewClient(p.a.client, p.a.entry).Status(asking); err == nil {
		p.members = s.Members
	}
}

// open are the members that have not answered with the version.
func (p *poll) open() []roster.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.members), func(m roster.Member) bool { return p.inForce[m.Incarnation] })
}

// ask asks every open member at once.
func (p *poll) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusLimit)
	defer cancel()
	var asked sync.WaitGroup
	for _, m := range p.open() {
		asked.Go((&question{p, ctx, m}).run)
	}
	asked.Wait()
}

// question asks one member.
type question struct {
	p   *poll
	ctx context.Context
	m   roster.Member
}

func (q *question) run() {
	s, err := peer.NewClient(q.p.a.client, q.m.PeerAddress).Status(q.ctx)
	if err != nil || s.Entry != q.m.Entry || s.Version < q.p.version {
		return
	}
	q.p.mu.Lock()
	defer q.p.mu.Unlock()
	q.p.inForce[q.m.Incarnation] = true
}
