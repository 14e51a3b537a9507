package entry

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/engine"
	"cicadavalve/io/vmlist"
)

// prober asks every listed upstream for its load report.
type prober struct {
	client   engine.Client
	interval time.Duration
	post     func(context.Context, ident.Msg)
	lists    chan []sched.Upstream
	watches  map[ident.UpstreamID]*watch
}

func newProber(client engine.Client, interval time.Duration, post func(context.Context, ident.Msg)) *prober {
	return &prober{
		client: client, interval: interval, post: post,
		lists: make(chan []sched.Upstream), watches: map[ident.UpstreamID]*watch{},
	}
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
}

func (p *prober) drop(id ident.UpstreamID) {
	if w, ok := p.watches[id]; ok {
		w.stop()
		delete(p.watches, id)
	}
}

func (w *watch) run(ctx context.Context) error {
	ticker := time.NewTicker(w.p.interval)
	defer ticker.Stop()
	for {
		w.probe(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// probeTimeouts is how many intervals a probe may take.
const probeTimeouts = 3

func (w *watch) probe(ctx context.Context) {
	probing, cancel := context.WithTimeout(ctx, probeTimeouts*w.p.interval)
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
	vms, err := l.list.Read(ctx)
	if err != nil {
		l.log.Warn("list_read_failed", "error", err)
		return
	}
	l.post(ctx, sched.UpstreamsMsg{Upstreams: vms})
	select {
	case l.lists <- vms:
	case <-ctx.Done():
	}
}
