// Package entry implements the entry daemon: it converts external events into messages for the state machines of core
// and executes their commands.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/limit"
	"cicadavalve/core/node"
	"cicadavalve/core/once"
	"cicadavalve/core/roll"
	"cicadavalve/core/roster"
	"cicadavalve/io/caller"
	"cicadavalve/io/config"
	"cicadavalve/io/engine"
	"cicadavalve/io/guard"
	"cicadavalve/io/link"
	"cicadavalve/io/logsvc"
	"cicadavalve/io/meter"
	"cicadavalve/io/peer"
	"cicadavalve/io/store"
	"cicadavalve/io/vmlist"
)

const (
	connectTimeout       = 500 * time.Millisecond
	idleConnsPerUpstream = 64
	inboxSize            = 1024
	readHeaderTimeout    = 5 * time.Second
)

// Daemon is the process of one entry.
type Daemon struct {
	settings    config.Settings
	tokens      config.Tokens
	log         *slog.Logger
	incarnation ident.BootID
	self        roster.Member
	// started is called with this entry's addresses once the ports are open.
	started func(roster.Member)
	// gate is called before each message that the loop handles.
	gate func()
	// keys enable mutual TLS for the peer protocol; nil means plain text.
	keys *peer.Keys
	// aborted is closed by Abort, to stop without a graceful shutdown.
	aborted   chan struct{}
	abortOnce sync.Once

	engines *engine.HTTPClient
	// upstreamDial replaces what opens the connections of engines, nil for the default.
	upstreamDial engine.DialFunc
	logs         logsvc.Service
	// control are the transports for the platform's services, and peerHTTP is the one for other entries.
	control  []*http.Transport
	peerHTTP *http.Transport
	list     vmlist.List
	meter    *meter.Meter

	inbox           chan work
	sessions        *sessions
	appender        *appender
	stateFetcher    *stateFetcher
	rosterFetcher   *rosterFetcher
	positionFetcher *positionFetcher
	// confirmer checks that the members have folded the verdicts that a suspected request waits for.
	confirmer    *confirmer
	reachChecker *reachChecker
	prober       *prober
	peers        *peerSender
	// canceller stops abandoned attempts on their engines.
	canceller *canceller
	// cacheSecret is the HMAC key for values derived from an organisation's name or requests.
	cacheSecret []byte
	journal     *journaler

	clock clock
	// node holds the state machines. Only the loop may access it; other goroutines use inspect.
	node *node.Node
	// orders queues orders to engines for the workers that send them.
	orders           queue[roll.OrderCmd]
	takeBackNotifier *takeBackNotifier
	cacheTransfer    *cacheTransfer
	// stores is the client for KV stores.
	stores *store.HTTPClient
	// leaving is set in the loop once a graceful shutdown has begun.
	leaving bool
	// shuttingDown is true from the start of a shutdown, for goroutines other than the loop.
	shuttingDown atomic.Bool
	// superseded is closed once another process has joined the roster under this entry's name.
	superseded     chan struct{}
	supersededOnce sync.Once
}

// NewDaemon returns an entry that [Daemon.Run] starts.
func NewDaemon(settings config.Settings, tokens config.Tokens, options ...Option) *Daemon {
	incarnation := ident.BootID(uuid.NewString())
	id := ident.EntryID(settings.Entry)
	meters := meter.NewMeter()
	logTransport := controlTransport(meters, meter.PurposeLog)
	listTransport := controlTransport(meters, meter.PurposeList)
	loadDial := meter.NewDialer(meters, meter.PurposeLoad, connectTimeout).DialContext
	d := &Daemon{
		settings: settings, tokens: tokens, log: slog.Default(), incarnation: incarnation,
		started: func(roster.Member) {}, gate: func() {}, aborted: make(chan struct{}),
		superseded: make(chan struct{}),
		engines:    engine.NewHTTPClient(connectTimeout, idleConnsPerUpstream, engine.WithControlDialer(loadDial)),
		control:    []*http.Transport{logTransport, listTransport},
		peerHTTP: peer.NewTransport(
			meter.NewDialer(meters, meter.PurposePeer, connectTimeout).DialContext,
			peer.TimeoutsFor(time.Duration(settings.PingInterval))),
		logs: logsvc.NewClient(settings.LogURL, &http.Client{Transport: logTransport}),
		list: vmlist.NewClient(
			settings.ListURL, &http.Client{Transport: listTransport, Timeout: time.Duration(settings.LogTimeout)}),
		meter:    meters,
		inbox:    make(chan work, inboxSize),
		sessions: newSessions(),
		clock:    newClock(),
		node: node.NewNode(node.Settings{
			Entry: id, Incarnation: incarnation, Zone: ident.Zone(settings.Zone),
			Seed: seedOrRandom(settings.Seed), Policy: settings.Policy,
			Slots: slotTiming(settings), PingInterval: time.Duration(settings.PingInterval),
			SnapshotRecords: settings.SnapshotRecords, SnapshotInterval: time.Duration(settings.SnapshotInterval),
			OnceLimits: onceLimits(settings), CacheLimits: cacheLimits(settings),
			MoveDwell: time.Duration(settings.MoveDwell), WeightLease: time.Duration(settings.WeightLease),
			UnloadGrace: time.Duration(settings.UnloadGrace), KeepInterval: time.Duration(settings.KeepInterval),
		}),
	}
	d.orders = newQueue[roll.OrderCmd](orderQueueSize)
	for _, o := range options {
		o(d)
	}
	if dial := d.upstreamDial; dial != nil {
		d.engines = engine.NewHTTPClient(connectTimeout, idleConnsPerUpstream, engine.WithDialer(dial), engine.WithControlDialer(dial))
	}
	d.log = d.log.With("entry", settings.Entry)
	d.self = roster.Member{Entry: id, Incarnation: incarnation, Zone: ident.Zone(settings.Zone)}
	d.appender = newAppender(d.logs, time.Duration(settings.LogTimeout), settings.AppendBatch, d.appendEvents(), d.log)
	d.peers = newPeerSender(d, d.peerClient(), time.Duration(settings.PingInterval))
	d.stateFetcher = newStateFetcher(d)
	d.rosterFetcher = newRosterFetcher(d)
	d.takeBackNotifier = newTakeBackNotifier(d)
	d.positionFetcher = newPositionFetcher(d)
	d.confirmer = newConfirmer(d)
	d.reachChecker = newReachChecker(d)
	d.canceller = newCanceller(d.engines)
	d.stores = store.NewHTTPClient(connectTimeout)
	d.cacheTransfer = newCacheTransfer(d, d.stores)
	d.prober = newProber(d.engines, settings, d.post)
	d.journal = newJournaler(d)
	d.journal.recordOpen(d.clock.now())
	return d
}

// controlTransport returns a transport whose bytes are counted under the purpose.
func controlTransport(m *meter.Meter, p meter.Purpose) *http.Transport {
	return &http.Transport{DialContext: meter.NewDialer(m, p, connectTimeout).DialContext, MaxResponseHeaderBytes: link.MaxHeader}
}

func slotTiming(s config.Settings) limit.Timing {
	return limit.Timing{
		Lease: time.Duration(s.Lease), Margin: time.Duration(s.LeaseMargin), Hold: time.Duration(s.SlotHold),
		Cold: time.Duration(s.MaxColdDuration), ReportLag: time.Duration(s.ReportLag),
	}
}

func seedOrRandom(setting uint64) uint64 {
	if setting != 0 {
		return setting
	}
	return rand.Uint64()
}

// Meter returns the entry's metrics.
func (d *Daemon) Meter() *meter.Meter { return d.meter }

// listeners are the entry's two open ports.
type listeners struct {
	caller net.Listener
	peer   net.Listener
}

func (d *Daemon) listen() (l listeners, err error) {
	defer func() { err = errors.Wrap(err, "listen") }()
	l.caller, err = net.Listen("tcp", d.settings.CallerAddress)
	if err != nil {
		return l, err
	}
	l.peer, err = net.Listen("tcp", d.settings.PeerAddress)
	if err != nil {
		_ = l.caller.Close()
		return l, err
	}
	l.peer = meter.NewListener(d.meter, meter.PurposePeer, l.peer)
	d.self.Address = l.caller.Addr().String()
	d.self.PeerAddress = l.peer.Addr().String()
	return l, nil
}

// Run serves until the context ends and then shuts down gracefully: it leaves the roster,
// goes on serving until no caller's address advice names it, and lets requests in flight
// end within the stop timeout.
//
//	d := entry.NewDaemon(settings, tokens, entry.WithLogger(log))
//	err := d.Run(ctx)
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "entry %s", d.settings.Entry) }()
	l, err := d.listen()
	if err != nil {
		return err
	}
	// The loops outlive ctx, so that requests in flight can end.
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	group, loops := errgroup.WithContext(loops)
	d.startLoops(loops, group)
	reports := guard.New(d.log, func() {})
	callers := newServer(reports.Handler(&drainHandler{d, caller.NewServer(d, d.settings.MaxBodyBytes, d.log)}), l.caller)
	peers := newServer(reports.Handler(peer.NewHandler(d)), l.peer)
	d.secure(peers)
	group.Go(callers.run)
	group.Go(peers.run)
	d.log.Info("entry_started", "caller_address", d.self.Address, "peer_address", d.self.PeerAddress)
	d.started(d.self)
	d.post(loops, roster.SelfMsg{Member: d.self})
	select {
	case <-ctx.Done():
	case <-d.superseded:
	case <-d.aborted:
	case <-loops.Done():
	}
	d.stop(loops, callers, peers)
	stopLoops()
	err = group.Wait()
	d.engines.CloseIdle()
	d.stores.CloseIdle()
	for _, t := range append(d.control, d.peerHTTP) {
		t.CloseIdleConnections()
	}
	d.log.Info("entry_stopped")
	return err
}

// Abort stops the daemon immediately: it does not leave the roster, and closes the connections of requests in flight.
func (d *Daemon) Abort() {
	d.abortOnce.Do(func() { close(d.aborted) })
}

// stop shuts the servers down gracefully, or immediately after Abort.
func (d *Daemon) stop(ctx context.Context, callers, peers *server) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.StopTimeout))
	defer cancel()
	watcher := &abortWatcher{d: d, cancel: cancel, done: make(chan struct{})}
	go watcher.run()
	d.shuttingDown.Store(true)
	d.leave(ctx)
	callers.stop(ctx)
	peers.stop(ctx)
	d.journal.flush(ctx)
	close(watcher.done)
}

// abortWatcher cancels a graceful shutdown if the daemon is aborted.
type abortWatcher struct {
	d      *Daemon
	cancel context.CancelFunc
	done   chan struct{}
}

func (w *abortWatcher) run() {
	select {
	case <-w.d.aborted:
		w.cancel()
	case <-w.done:
	}
}

func (d *Daemon) startLoops(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.loop(ctx) })
	group.Go(func() error { return d.appender.run(ctx) })
	group.Go(func() error { return d.stateFetcher.run(ctx) })
	group.Go(func() error { return d.rosterFetcher.run(ctx) })
	group.Go(func() error { return d.positionFetcher.run(ctx) })
	group.Go(func() error { return d.confirmer.run(ctx) })
	group.Go(func() error { return d.reachChecker.run(ctx) })
	group.Go(func() error { return d.prober.run(ctx) })
	group.Go(func() error { return d.canceller.run(ctx) })
	group.Go(func() error { return d.cacheTransfer.run(ctx) })
	group.Go(func() error { return d.journal.run(ctx) })
	group.Go(func() error { return d.listPoller().run(ctx) })
	group.Go(func() error { return d.peers.run(ctx) })
	group.Go(func() error { return (&joiner{d}).run(ctx) })
	d.startMoves(ctx, group)
	for _, stream := range []ledger.Stream{
		ledger.StreamConfig, ledger.StreamRoster, ledger.StreamVerdict, once.StreamOnce,
	} {
		f := logsvc.NewFollower(d.logs, stream, time.Duration(d.settings.LogTimeout), logFold{d}, d.log)
		group.Go(func() error { return f.Run(ctx) })
	}
}

// server is an HTTP server on an open port.
type server struct {
	http     *http.Server
	listener net.Listener
}

func newServer(h http.Handler, listener net.Listener) *server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &server{
		http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, Protocols: protocols, ConnContext: link.WithCaller}, listener: listener,
	}
}

func (s *server) run() error {
	err := s.serve()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *server) serve() error {
	if s.http.TLSConfig != nil {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

// stop waits for requests in flight until the context ends, and then closes their connections.
func (s *server) stop(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}
