package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadavalve/core/ident"
	"cicadavalve/core/probe"
	"cicadavalve/core/sched"
	"cicadavalve/io/config"
	"cicadavalve/io/engine"
	"cicadavalve/io/vmlist"
)

// prober asks every listed upstream for its load report.
type prober struct {
	client   engine.Client
	timing   probe.Timing
	watching atomic.Int64
	post     func(context.Context, ident.Msg)
	lists    chan []sched.Upstream
	watches  map[ident.UpstreamID]*watch

	mu       sync.Mutex
	activity *probe.Activity
	// woken is closed, and replaced, when the entry has work again after a calm.
	woken chan struct{}
}

func newProber(client engine.Client, s config.Settings, post func(context.Context, ident.Msg)) *prober {
	timing := probe.Timing{
		Shortest: time.Duration(s.ProbeInterval), Longest: time.Duration(s.ProbeIntervalMax),
		LongestIdle: time.Duration(s.ProbeIntervalIdleMax),
		Rate:        s.ProbeRate, IdleRate: s.ProbeRateIdle, Calm: max(probeCalm, 2*time.Duration(s.ReportLag)),
	}
	return &prober{
		client: client, timing: timing, post: post,
		lists: make(chan []sched.Upstream), watches: map[ident.UpstreamID]*watch{},
		activity: probe.NewActivity(time.Now(), timing), woken: make(chan struct{}),
	}
}

// probeCalm is the least time without a sign of work after which load reports are asked slowly.
const probeCalm = 3 * time.Second

// note tells whether the entry has work now. Work after a calm has every upstream probed at once.
func (p *prober) note(working bool) (woke bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	woke = p.activity.Note(time.Now(), working)
	if woke {
		close(p.woken)
		p.woken = make(chan struct{})
	}
	return woke
}

// wakes is closed at the next end of a calm.
func (p *prober) wakes() (woken <-chan struct{}, calm bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.woken, p.activity.Calm(time.Now())
}

// watch probes one upstream.
type watch struct {
	p        *prober
	upstream sched.Upstream
	stop     context.CancelFunc
	pace     *probe.Pace
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
		w := &watch{p: p, upstream: u, stop: stop, pace: probe.NewPace(p.timing)}
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
	var woken <-chan struct{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-woken:
		}
		w.probe(ctx)
		var calm bool
		woken, calm = w.p.wakes()
		timer.Reset(w.pace.Interval(time.Now(), int(w.p.watching.Load()), calm))
	}
}

// probeTimeouts is how many of the shortest intervals a probe may take.
const probeTimeouts = 5

func (w *watch) probe(ctx context.Context) {
	probing, cancel := context.WithTimeout(ctx, probeTimeouts*w.p.timing.Shortest)
	defer cancel()
	began := time.Now()
	load, err := w.p.client.Load(probing, w.upstream.Address)
	if err != nil {
		w.pace.Missed(time.Now())
		w.p.post(ctx, sched.UnreachableMsg{Upstream: w.upstream.ID, Waited: time.Since(began)})
		return
	}
	w.pace.Reported(time.Now(), load)
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
