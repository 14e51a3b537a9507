package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"cicadavalve/core/conf"
	"cicadavalve/core/lease"
	"cicadavalve/core/mesh"
	"cicadavalve/core/parts"
	"cicadavalve/core/purge"
	"cicadavalve/core/reload"
	"cicadavalve/io/clock"
	"cicadavalve/io/gossip"
	"cicadavalve/io/link"
	"cicadavalve/io/port"
	"cicadavalve/io/relay"
)

const (
	// tickInterval is the interval at which waiting requests are checked again.
	tickInterval = 25 * time.Millisecond
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = time.Second
	// stateInterval is the interval of the "state" log lines.
	stateInterval = 5 * time.Second
	// heapShare is the fraction of the memory limit that is set as the soft limit of the Go runtime.
	heapShare = 0.6
	// bodyShare is the fraction of the memory limit that request bodies may take.
	bodyShare = 0.2
	// answerShare is the fraction of the memory limit that the answers that are held back may take.
	answerShare = 0.15
	// acceptPeriod is how long a stopping entry still accepts requests. Callers keep its address for the TTL of the
	// directory's answer, some of them for three times that. A request accepted more than three seconds after the
	// signal must not be cut, so accepting ends before that.
	acceptPeriod = 3*addressTTL - 200*time.Millisecond
	// maxAcceptShare bounds acceptPeriod to a fraction of the grace period, so that the requests accepted last have
	// time to end.
	maxAcceptShare = 0.4
	// stopMargin is the part of the grace period that is reserved for the exit of the process.
	stopMargin = 300 * time.Millisecond
	// answerMargin is the part before it in which the requests that still run are answered.
	answerMargin = 300 * time.Millisecond
	// announceTimeout bounds the announcement of the entry's address and the read of the other entries.
	announceTimeout = 2 * time.Second
)

// Daemon is one entry.
type Daemon struct {
	settings   Settings
	log        *slog.Logger
	outside    Adapters
	dialect    port.Dialect
	store      port.Store
	engines    port.Engines
	ready      http.Handler
	advice     http.Handler
	self       mesh.Peer
	controller *Controller
	socket     *gossip.Socket
	forwarder  *forwarder
	duty       *duty
	handler    *relay.Handler
	server     *relay.Server
	// handovers serves the requests that other entries hand over.
	handovers *relay.Server
	pool      *link.Pool
	meter     *Meter
	// usage is nil unless usage is reported.
	usage *usageReports
}

// Adapters holds the adapters to the outside systems.
type Adapters struct {
	Dialect port.Dialect
	Store   port.Store
	Engines port.Engines
	// Provider is nil without duties there.
	Provider port.Provider
	// Ready and Directory make the handlers that answer the platform's readiness probes and callers' queries for
	// addresses.
	Ready, Directory func(port.Advice) http.Handler
	// Dial opens the connections to upstreams and to other entries.
	Dial link.DialFunc
}

// NewDaemon returns a daemon that [Daemon.Run] starts. Boot identifies the incarnation and must grow with each restart.
func NewDaemon(s Settings, outside Adapters, log *slog.Logger, boot int64, options ...Option) *Daemon {
	self := mesh.Peer{ID: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)), Address: s.Front, Zone: s.Zone, State: mesh.Starting, Boot: boot, Relays: true}
	d := &Daemon{
		settings: s, log: log, outside: outside, dialect: outside.Dialect, store: outside.Store, engines: outside.Engines, self: self,
		controller: NewController(s, self, log, uint64(boot), options...), pool: link.NewPool(link.WithDial(outside.Dial)), meter: NewMeter(),
	}
	d.forwarder, d.controller.decode = newForwarder(d), outside.Store.Decode
	d.meter.watchEvidence(d.controller.countEvidence)
	d.meter.watchPace(d.controller.paceSummary)
	if s.Shares {
		d.meter.watchShares(d.controller.shareViews)
		d.controller.onRefusal = d.meter.countRefusal
	}
	d.meter.watchRecalls(&d.controller.overdue)
	if s.LeaveZone {
		d.meter.refresh = d.controller.writeZones
	}
	d.ready, d.advice = outside.Ready(d.controller), outside.Directory(d.controller)
	d.duty = &duty{d: d, mu: d.controller.guard.NewMutex(), era: -1, lease: lease.NewModel(self.ID, boot, s.Lease, s.Fenced), reload: reload.NewModel(d.controller.fleet), purge: purge.NewModel(d.controller.fleet)}
	d.handler = relay.NewHandler(self.ID, d.controller, d.dialect, d.pool, log, d.meter, int64(bodyShare*float64(s.Memory)), int64(answerShare*float64(s.Memory)))
	d.server = relay.NewServer(d.controller.guard.Handler(d.handler))
	d.handovers = relay.NewServer(d.controller.guard.Handler(d.handler.Handovers()))
	if s.UsageWindow > 0 && outside.Provider != nil {
		d.usage = newUsageReports(d, boot)
		d.controller.onBegan = d.usage.began
	}
	d.controller.onConfig = func(set *conf.Set) {
		d.duty.setScope(set.SharedScope())
		d.server.SetIdleTimeout(set.Limits().IdleTimeout)
		d.server.SetHeaderTimeout(set.Limits().HeaderTimeout)
	}
	return d
}

// Run serves until the context ends. It then drains, and returns once all requests have ended or the grace period is
// over.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "daemon") }()
	debug.SetMemoryLimit(int64(heapShare * float64(d.settings.Memory)))
	if d.socket, err = gossip.Listen(d.self.ID); err != nil {
		return err
	}
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, running := errgroup.WithContext(running)
	if err := d.listen(running, group); err != nil {
		return err
	}
	d.start(running, group)
	group.Go(func() error {
		defer d.controller.guard.Check()
		select {
		case <-running.Done():
		case <-ctx.Done():
			d.leave()
		}
		end()
		return nil
	})
	return group.Wait()
}

// listen opens the front address, the readiness and directory addresses and the metrics port, and serves them.
func (d *Daemon) listen(ctx context.Context, group *errgroup.Group) (err error) {
	front, err := net.Listen("tcp4", d.settings.Front)
	if err != nil {
		return err
	}
	group.Go(func() error { return serve(ctx, d.server.HTTP(), func() error { return d.server.Serve(front) }) })
	handovers, err := net.Listen("tcp4", d.self.ID)
	if err != nil {
		return err
	}
	group.Go(func() error {
		return serve(ctx, d.handovers.HTTP(), func() error { return d.handovers.Serve(handovers) })
	})
	metrics := net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.FirstPort+1))
	handlers := map[string]http.Handler{d.settings.Ready: d.ready, d.settings.Directory: d.advice, metrics: d.meter}
	for addr, handler := range handlers {
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: d.controller.guard.Handler(handler), ReadTimeout: adviceReadTimeout, IdleTimeout: adviceIdleTimeout, MaxHeaderBytes: adviceMaxHeader}
		group.Go(func() error { return serve(ctx, server, func() error { return server.Serve(l) }) })
	}
	return nil
}

const (
	// adviceReadTimeout bounds the read of a request at the readiness, directory and metrics addresses.
	adviceReadTimeout = 3 * time.Second
	// adviceMaxHeader bounds the header of a request to these addresses, in bytes.
	adviceMaxHeader = 16 << 10
	// adviceIdleTimeout is how long a connection to these addresses may stay idle.
	adviceIdleTimeout = 15 * time.Second
)

func serve(ctx context.Context, server *http.Server, accept func() error) (err error) {
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := accept(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// start runs the background loops: feeds, heartbeats, followers, orders, the introduction, the clock and the receiver.
func (d *Daemon) start(ctx context.Context, group *errgroup.Group) {
	beats := &heartbeat{d: d, seeds: d.seeds()}
	loops := []func(context.Context){
		newFeed(d, port.Operator, operatorWait, 0, operatorMaxAge).run,
		newFeed(d, port.Upstreams, 0, listInterval, listMaxAge).run,
		beats.run, d.forwarder.run, newFollowers(d).run, d.duty.run, (&introduction{d: d, heartbeat: beats}).run, newVerdicts(d).run, (&rollouts{d: d}).run, (&inspector{d: d}).run, (&ticker{d: d}).run,
	}
	if d.usage != nil {
		loops = append(loops, d.usage.run)
	}
	for range probers {
		loops = append(loops, (&prober{d}).run)
	}
	for _, loop := range loops {
		group.Go(func() error {
			defer d.controller.guard.Check()
			loop(ctx)
			return nil
		})
	}
	group.Go(func() error {
		defer d.controller.guard.Check()
		d.socket.Run(ctx, d.receive, func(err error) { d.log.Debug("datagram_unreadable", "error", err) })
		return nil
	})
}

// seeds turns the addresses of other daemons into their ids: the port for datagrams is the same on all.
func (d *Daemon) seeds() (ids []string) {
	for _, seed := range d.settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			d.log.Warn("seed_unreadable", "seed", seed, "error", err)
			continue
		}
		ids = append(ids, net.JoinHostPort(host, strconv.Itoa(d.settings.FirstPort)))
	}
	return ids
}

// leave drains the entry: it accepts requests for acceptPeriod and then waits for the running ones within the grace
// period. What still runs shortly before its end is answered then.
func (d *Daemon) leave() {
	d.log.Info("stopping", "grace", d.settings.Grace, "running", d.handler.Running())
	d.controller.setState(mesh.Leaving)
	left := d.settings.Grace - stopMargin - answerMargin
	d.handler.Leave(clock.Now().Add(left))
	defer time.AfterFunc(left, d.handler.End).Stop()
	accepting := min(acceptPeriod, time.Duration(maxAcceptShare*float64(d.settings.Grace)))
	time.Sleep(accepting)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Grace-accepting-stopMargin)
	defer cancel()
	for _, server := range []*relay.Server{d.server, d.handovers} {
		if err := server.HTTP().Shutdown(ctx); err != nil {
			d.log.Warn("requests_cut", "running", d.handler.Running(), "error", err)
			_ = server.HTTP().Close()
		}
	}
	if d.usage != nil {
		d.usage.flush()
	}
	d.log.Info("stopped")
}

func (d *Controller) setState(state mesh.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mesh.SetState(state)
}

// setAnnounced sets how many entries the store lists. That decides whether this one reads for all, so the feeds schedule their reads anew.
func (d *Controller) setAnnounced(entries int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announced = entries
	for _, f := range d.feeds {
		signal(f.wake)
	}
}

// introduction announces the entry in the store and finds the other entries there.
type introduction struct {
	d         *Daemon
	heartbeat *heartbeat
}

// run retries until the entry has been announced and the entries announced before it have been greeted, and announces it
// again when the store has come back from a copy.
func (i *introduction) run(ctx context.Context) {
	restored := i.d.controller.whenRestored()
	for ctx.Err() == nil {
		retryUntilDone(ctx, retryDelay, i.step)
		awaitRestored(ctx, restored)
	}
}

func (i *introduction) step(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := i.d.store.Announce(ctx, i.d.self.ID); err != nil {
		i.d.log.Warn("entry_not_announced", "error", err)
		return err
	}
	batch, err := i.d.store.Snapshot(ctx, port.Entries, slowCallTimeout)
	if err != nil {
		i.d.log.Warn("entries_not_read", "error", err)
		return err
	}
	for _, event := range batch.Events {
		if e, ok := event.(port.EntryEvent); ok {
			i.d.greet(e.ID)
		}
	}
	i.d.controller.setAnnounced(len(batch.Events))
	return nil
}

// ticker drives the periodic work: decisions that depend on time, the sweep of connections and the state log line.
type ticker struct{ d *Daemon }

// run works at each tick until the context ends.
func (k *ticker) run(ctx context.Context) {
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	lastSweep, lastState := clock.Now(), clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		now := clock.Now()
		k.d.controller.Tick(now)
		if now.Sub(lastSweep) > sweepInterval {
			lastSweep = now
			k.d.pool.Sweep(now)
		}
		if now.Sub(lastState) > stateInterval {
			lastState = now
			k.d.controller.logState(now)
		}
	}
}

// logState logs a summary of the entry's view, once there is a configuration.
func (d *Controller) logState(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	set := d.set.Load()
	if set == nil {
		return
	}
	usable, cold, limited, busy := 0, 0, 0, 0
	for _, u := range d.fleet.All() {
		if d.fleet.Usable(now, u.ID) {
			usable++
		}
		if d.fleet.Cold(now, u.ID) {
			cold++
		}
		if d.fleet.Limit(now, u.ID).Named {
			limited++
		}
		busy += d.place.InFlight(now, u.ID)
	}
	holders, known := d.index.Count()
	attrs := []any{
		"version", set.Version(), "entries", len(d.mesh.Alive(now)), "serving", len(d.mesh.Serving(now)), "upstreams", len(d.fleet.All()),
		"usable", usable, "cold", cold, "limited", limited, "busy", busy, "waiting", d.place.Waiting(),
		"retry_allowance", d.retryAllowance(now), "holders", holders, "parts", known,
	}
	for _, s := range set.Services() {
		if w, used := d.budgets[s.Name]; used && w.Retries(now) > 0 {
			attrs = append(attrs, "retries_"+string(s.Name), w.Retries(now))
		}
	}
	for i := range set.Services() {
		if s := set.Services()[i].Store; s != nil {
			attrs = append(attrs, "store_"+s.Address, fmt.Sprintf("%d/%d", d.index.Used(now, parts.Holder(s.Address)), s.Capacity))
		}
	}
	d.log.Info("state", append(attrs, d.zoneAttrs()...)...)
}
