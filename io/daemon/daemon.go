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
	"cicadavalve/core/swap"
	"cicadavalve/io/gossip"
	"cicadavalve/io/link"
	"cicadavalve/io/relay"
	"cicadavalve/io/seam"
)

const (
	// tickInterval is how soon what waits notices that it need not.
	tickInterval = 25 * time.Millisecond
	// sweepInterval is the pace at which unused connections are closed.
	sweepInterval = time.Second
	// stateInterval is the pace of the log lines that sum up what the entry knows.
	stateInterval = 5 * time.Second
	// heapShare is the part of the memory limit that the collector keeps the heap to.
	heapShare = 0.6
	// bodyShare is the part of the memory limit that bodies of requests may take.
	bodyShare = 0.2
	// leaveTime is how long a stopping entry still takes requests: callers keep its address for as long as
	// the advice holds, some of them three times as long, and what is taken later than three seconds after
	// the signal must not be cut.
	leaveTime = 3*addressHold - 200*time.Millisecond
	// leaveShare bounds leaveTime to a part of the grace, so that what was taken last has time to end.
	leaveShare = 0.4
	// stopMargin is kept from the grace for the end of the process.
	stopMargin = 300 * time.Millisecond
	// announceTime bounds the announcement of the entry's address.
	announceTime = 2 * time.Second
)

// Daemon is one entry.
type Daemon struct {
	settings   Settings
	log        *slog.Logger
	dialect    seam.Dialect
	store      seam.Store
	engines    seam.Engines
	ready      http.Handler
	advice     http.Handler
	self       mesh.Peer
	controller *Controller
	socket     *gossip.Socket
	duty       *duty
	handler    *relay.Handler
	server     *relay.Server
	pool       *link.Pool
	meter      *Meter
}

// Outside is the outside world as the daemon meets it.
type Outside struct {
	Dialect seam.Dialect
	Store   seam.Store
	Engines seam.Engines
	// Ready and Directory answer the platform and callers from the daemon's advice.
	Ready, Directory func(seam.Advice) http.Handler
}

// NewDaemon is ready to run. Boot tells incarnations apart and grows from one to the next.
func NewDaemon(s Settings, outside Outside, log *slog.Logger, boot int64) *Daemon {
	self := mesh.Peer{ID: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)), Address: s.Front, Zone: s.Zone, Life: mesh.Starting, Boot: boot}
	d := &Daemon{
		settings: s, log: log, dialect: outside.Dialect, store: outside.Store, engines: outside.Engines, self: self,
		controller: NewController(s, self, log, uint64(boot)), pool: link.NewPool(), meter: NewMeter(),
	}
	d.ready, d.advice = outside.Ready(d.controller), outside.Directory(d.controller)
	d.duty = &duty{d: d, lease: lease.NewModel(self.ID, boot, s.Lease, s.Fenced), swap: swap.NewModel(d.controller.fleet), purge: purge.NewModel(d.controller.fleet)}
	d.handler = relay.NewHandler(d.controller, d.dialect, d.pool, log, d.meter, int64(bodyShare*float64(s.Memory)))
	d.server = relay.NewServer(d.handler)
	d.controller.onConfig = func(set *conf.Set) { d.server.SetIdle(set.Limits().IdleTime) }
	return d
}

// Run serves until the context ends, and then until what is under way is done or the grace is over.
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

// listen opens the daemon's own addresses.
func (d *Daemon) listen(ctx context.Context, group *errgroup.Group) (err error) {
	front, err := net.Listen("tcp4", d.settings.Front)
	if err != nil {
		return err
	}
	group.Go(func() error { return serve(ctx, d.server.HTTP(), func() error { return d.server.Serve(front) }) })
	metrics := net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.FirstPort+1))
	small := map[string]http.Handler{d.settings.Ready: d.ready, d.settings.Directory: d.advice, metrics: d.meter}
	for addr, handler := range small {
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: smallTime, IdleTimeout: smallIdle}
		group.Go(func() error { return serve(ctx, server, func() error { return server.Serve(l) }) })
	}
	return nil
}

const (
	// smallTime bounds the head of a request for advice.
	smallTime = 3 * time.Second
	// smallIdle is how long a connection for advice may stay unused.
	smallIdle = 15 * time.Second
)

func serve(ctx context.Context, server *http.Server, accept func() error) (err error) {
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := accept(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// start runs the loops that feed the deciders.
func (d *Daemon) start(ctx context.Context, group *errgroup.Group) {
	beats := &heartbeat{d: d, told: d.seeds()}
	loops := []func(context.Context){
		newFeed(d, seam.Operator, operatorWait, 0, operatorPatience).run,
		newFeed(d, seam.Upstreams, 0, listInterval, listPatience).run,
		beats.run, newFollows(d).run, d.duty.run, (&introduction{d: d, heartbeat: beats}).run, (&clock{d: d}).run,
	}
	for _, loop := range loops {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	group.Go(func() error {
		d.socket.Run(ctx, d.hear, func(err error) { d.log.Debug("datagram_unreadable", "error", err) })
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

// leave finishes what is under way.
func (d *Daemon) leave() {
	d.log.Info("stopping", "grace", d.settings.Grace, "running", d.handler.Running())
	d.controller.setLife(mesh.Leaving)
	d.handler.Leave()
	taking := min(leaveTime, time.Duration(leaveShare*float64(d.settings.Grace)))
	time.Sleep(taking)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Grace-taking-stopMargin)
	defer cancel()
	if err := d.server.HTTP().Shutdown(ctx); err != nil {
		d.log.Warn("requests_cut", "running", d.handler.Running(), "error", err)
	}
	d.log.Info("stopped")
}

func (d *Controller) setLife(life mesh.Life) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mesh.SetLife(life)
}

// introduction finds the other entries through the store.
type introduction struct {
	d         *Daemon
	heartbeat *heartbeat
}

// run announces the entry and greets those announced before, once.
func (i *introduction) run(ctx context.Context) {
	for ctx.Err() == nil {
		if i.step(ctx) == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(feedPause):
		}
	}
}

func (i *introduction) step(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	if err := i.d.store.Announce(ctx, i.d.self.ID); err != nil {
		i.d.log.Warn("entry_not_announced", "error", err)
		return err
	}
	batch, err := i.d.store.Snapshot(ctx, seam.Entries)
	if err != nil {
		i.d.log.Warn("entries_not_read", "error", err)
		return err
	}
	for _, event := range batch.Events {
		if e, ok := event.(seam.EntryEvent); ok {
			i.d.greet(e.ID)
		}
	}
	return nil
}

// clock lets time pass for the deciders.
type clock struct{ d *Daemon }

// run ticks until the context ends.
func (c *clock) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	swept, told := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		c.d.controller.Tick(now)
		if now.Sub(swept) > sweepInterval {
			swept = now
			c.d.pool.Sweep(now)
		}
		if now.Sub(told) > stateInterval {
			told = now
			c.d.controller.logState(now)
		}
	}
}

// logState sums up what the entry knows, for those who read the log later.
func (d *Controller) logState(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	set := d.set.Load()
	if set == nil {
		return
	}
	usable, cold, busy := 0, 0, 0
	for _, u := range d.fleet.All() {
		if d.fleet.Usable(now, u.ID) {
			usable++
		}
		if d.fleet.Cold(now, u.ID) {
			cold++
		}
		busy += d.place.Busy(now, u.ID)
	}
	attrs := []any{
		"version", set.Version(), "entries", len(d.mesh.Alive(now)), "serving", len(d.mesh.Serving(now)), "upstreams", len(d.fleet.All()),
		"usable", usable, "cold", cold, "busy", busy, "waiting", d.place.Waiting(),
	}
	for i := range set.Services() {
		if s := set.Services()[i].Store; s != nil {
			attrs = append(attrs, "store_"+s.Address, fmt.Sprintf("%d/%d", d.index.Used(now, parts.Holder(s.Address)), s.Room))
		}
	}
	d.log.Info("state", attrs...)
}
