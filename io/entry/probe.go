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

// prober polls the load report of every listed upstream except stores.
type prober struct {
	client engine.Client
	timing probe.Timing
	// upstreamCount is len(probers), for the goroutines of the probers.
	upstreamCount atomic.Int64
	post          func(context.Context, ident.Msg)
	lists         chan []sched.Upstream
	probers       map[ident.UpstreamID]*upstreamProber

	mu       sync.Mutex
	activity *probe.Activity
	// wake is closed and replaced when the entry gets work after an idle period.
	wake chan struct{}
}

func newProber(client engine.Client, s config.Settings, post func(context.Context, ident.Msg)) *prober {
	timing := probe.Timing{
		MinInterval: time.Duration(s.ProbeInterval), MaxInterval: time.Duration(s.ProbeIntervalMax),
		MaxIdleInterval: time.Duration(s.ProbeIntervalIdleMax),
		Rate:            s.ProbeRate, IdleRate: s.ProbeRateIdle, IdleDelay: max(minIdleDelay, 2*time.Duration(s.ReportLag)),
	}
	return &prober{
		client: client, timing: timing, post: post,
		lists: make(chan []sched.Upstream), probers: map[ident.UpstreamID]*upstreamProber{},
		activity: probe.NewActivity(time.Now(), timing), wake: make(chan struct{}),
	}
}

// minIdleDelay is the minimum time without work after which probing slows down.
const minIdleDelay = 3 * time.Second

// noteActivity records whether the entry has work. It returns true if that ends an idle period, and then makes
// every upstream be probed immediately.
func (p *prober) noteActivity(working bool) (woke bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	woke = p.activity.RecordWork(time.Now(), working)
	if woke {
		close(p.wake)
		p.wake = make(chan struct{})
	}
	return woke
}

// wakeSignal returns a channel that is closed at the end of the next idle period, and whether the entry is idle now.
func (p *prober) wakeSignal() (wake <-chan struct{}, idle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wake, p.activity.IsIdle(time.Now())
}

// upstreamProber probes one upstream.
type upstreamProber struct {
	prober   *prober
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
			p.setUpstreams(ctx, group, list)
		}
	}
}

func (p *prober) setUpstreams(ctx context.Context, group *errgroup.Group, list []sched.Upstream) {
	listed := map[ident.UpstreamID]bool{}
	for _, u := range list {
		if u.Role == sched.RoleStore {
			continue
		}
		listed[u.ID] = true
		if old, ok := p.probers[u.ID]; ok && old.upstream.Address == u.Address {
			continue
		}
		p.stopProber(u.ID)
		proberCtx, stop := context.WithCancel(ctx)
		up := &upstreamProber{prober: p, upstream: u, stop: stop, pace: probe.NewPace(p.timing)}
		p.probers[u.ID] = up
		group.Go(func() error { return up.run(proberCtx) })
	}
	for id := range p.probers {
		if !listed[id] {
			p.stopProber(id)
		}
	}
	p.upstreamCount.Store(int64(len(p.probers)))
}

func (p *prober) stopProber(id ident.UpstreamID) {
	if u, ok := p.probers[id]; ok {
		u.stop()
		delete(p.probers, id)
	}
}

func (u *upstreamProber) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var wake <-chan struct{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-wake:
		}
		u.probe(ctx)
		var idle bool
		wake, idle = u.prober.wakeSignal()
		timer.Reset(u.pace.Interval(time.Now(), int(u.prober.upstreamCount.Load()), idle))
	}
}

// probeTimeoutFactor is the timeout of a probe as a multiple of the shortest probe interval.
const probeTimeoutFactor = 5

func (u *upstreamProber) probe(ctx context.Context) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeoutFactor*u.prober.timing.MinInterval)
	defer cancel()
	started := time.Now()
	load, err := u.prober.client.Load(probeCtx, u.upstream.Address)
	if err != nil {
		u.pace.RecordMiss(time.Now())
		u.prober.post(ctx, sched.UnreachableMsg{Upstream: u.upstream.ID, Waited: time.Since(started)})
		return
	}
	u.pace.RecordReport(time.Now(), load)
	u.prober.post(ctx, sched.LoadMsg{Upstream: u.upstream.ID, Load: load})
}

// listPoller polls the platform's VM list.
type listPoller struct {
	client   vmlist.List
	interval time.Duration
	post     func(context.Context, ident.Msg)
	lists    chan<- []sched.Upstream
	log      *slog.Logger
}

func (d *Daemon) listPoller() *listPoller {
	return &listPoller{
		client: d.list, interval: time.Duration(d.settings.ListInterval), post: d.post, lists: d.prober.lists, log: d.log,
	}
}

func (l *listPoller) run(ctx context.Context) error {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	for {
		l.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (l *listPoller) poll(ctx context.Context) {
	vms, changed, err := l.client.Read(ctx)
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
