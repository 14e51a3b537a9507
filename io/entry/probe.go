package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/config"
	"cicadavalve/io/engine"
	"cicadavalve/io/vmlist"
)

// prober asks every listed upstream for its load report, at a bounded rate over all of them.
type prober struct {
	client engine.Client
	// shortest and longest bound the time between two probes of one upstream.
	shortest time.Duration
	longest  time.Duration
	// rate is the probes a second over all upstreams, as long as longest allows.
	rate     float64
	watching atomic.Int64
	post     func(context.Context, ident.Msg)
	lists    chan []sched.Upstream
	watches  map[ident.UpstreamID]*watch
}

func newProber(client engine.Client, s config.Settings, post func(context.Context, ident.Msg)) *prober {
	return &prober{
		client: client, shortest: time.Duration(s.ProbeInterval), longest: time.Duration(s.ProbeIntervalMax),
		rate: s.ProbeRate, post: post,
		lists: make(chan []sched.Upstream), watches: map[ident.UpstreamID]*watch{},
	}
}

// interval grows with the number of upstreams, so that their probes together keep the rate.
func (p *prober) interval() time.Duration {
	shared := time.Duration(float64(p.watching.Load()) / p.rate * float64(time.Second))
	return min(max(shared, p.shortest), p.longest)
}

// watch probes one upstream.
type watch struct {
	p        *prober
	upstream sched.Upstream
	stop     context.CancelFunc
}

func (p *prober) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case list := <-p.lists:
			p.set(ctx, group, list)
		}
	}
}

func (p *prober) set(ctx context.Context, group *errgroup.Group, list []sched.Upstream) {
	listed := map[ident.UpstreamID]bool{}
	for _, u := range list {
		if u.Role == sched.RoleStore {
			continue
		}
		listed[u.ID] = true
		if w, ok := p.watches[u.ID]; ok && w.upstream.Address == u.Address {
			continue
		}
		p.drop(u.ID)
		watched, stop := context.WithCancel(ctx)
		w := &watch{p: p, upstream: u, stop: stop}
		p.watches[u.ID] = w
		group.Go(func() error { return w.run(watched) })
	}
	for id := range p.watches {
		if !listed[id] {
			p.drop(id)
		}
	}
	p.watching.Store(int64(len(p.watches)))
}

func (p *prober) drop(id ident.UpstreamID) {
	if w, ok := p.watches[id]; ok {
		w.stop()
		delete(p.watches, id)
	}
}

func (w *watch) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		w.probe(ctx)
		timer.Reset(w.p.interval())
	}
}

// probeTimeouts is how many of the shortest intervals a probe may take.
const probeTimeouts = 5

func (w *watch) probe(ctx context.Context) {
	probing, cancel := context.WithTimeout(ctx, probeTimeouts*w.p.shortest)
	defer cancel()
	load, err := w.p.client.Load(probing, w.upstream.Address)
	if err != nil {
		w.p.post(ctx, sched.UnreachableMsg{Upstream: w.upstream.ID})
		return
	}
	w.p.post(ctx, sched.LoadMsg{Upstream: w.upstream.ID, Load: load})
}

// lister reads the platform's VM list.
type lister struct {
	list     vmlist.List
	interval time.Duration
	post     func(context.Context, ident.Msg)
	lists    chan<- []sched.Upstream
	log      *slog.Logger
}

func (d *Daemon) lister() *lister {
	return &lister{
		list: d.list, interval: time.Duration(d.settings.ListInterval), post: d.post, lists: d.prober.lists, log: d.log,
	}
}

func (l *lister) run(ctx context.Context) error {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	for {
		l.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (l *lister) read(ctx context.Context) {
	vms, changed, err := l.list.Read(ctx)
	if err != nil {
		l.log.Warn("list_read_failed", "error", err)
		return
	}
	if !changed {
		return
	}
	l.post(ctx, sched.UpstreamsMsg{Upstreams: vms})
	select {
	case l.lists <- vms:
	case <-ctx.Done():
	}
}
