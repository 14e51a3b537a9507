// Package bench runs a cluster of stand-ins and entries in one process, for tests and comparisons.
package bench

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/sched"
	"cicadavalve/io/config"
	"cicadavalve/io/fakes"
	"cicadavalve/io/logsvc"
	"cicadavalve/io/peer"
)

// Engine is a running stand-in for a model engine.
type Engine struct {
	*fakes.Engine
	ID      ident.UpstreamID
	Address string
	Zone    ident.Zone
	server  *fakes.Server
	stop    context.CancelFunc
}

// App is a running stand-in for an app engine.
type App struct {
	*fakes.App
	ID      ident.UpstreamID
	Address string
}

// Store is a running stand-in for a KV store.
type Store struct {
	*fakes.Store
	ID      ident.UpstreamID
	Address string
	server  *fakes.Server
}

// Cluster is a set of stand-ins and entries that run in this process.
type Cluster struct {
	logger      *slog.Logger
	dir         string
	tokens      map[string]ident.OrgID
	settings    func(*config.Settings)
	logSettings fakes.LogSettings
	listLag     time.Duration
	rules       string

	logURL  string
	listURL string
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	engines    []*Engine
	apps       []*App
	stores     []*Store
	entries    []*Entry
	entryCount int
}

// Option sets one property of a [Cluster].
type Option func(*Cluster)

// WithTokens sets the bearer tokens and the organisation of each.
func WithTokens(tokens map[string]ident.OrgID) Option { return func(c *Cluster) { c.tokens = tokens } }

// WithSettings sets a function that changes the settings of each entry before it starts.
func WithSettings(change func(*config.Settings)) Option {
	return func(c *Cluster) { c.settings = change }
}

// WithLog configures the log service.
func WithLog(s fakes.LogSettings) Option { return func(c *Cluster) { c.logSettings = s } }

// WithListLag sets the delay after which changes appear on the VM list.
func WithListLag(lag time.Duration) Option { return func(c *Cluster) { c.listLag = lag } }

// WithRules sets the operator's file that is appended to the log as the first configuration.
func WithRules(text string) Option { return func(c *Cluster) { c.rules = text } }

// WithLogger sets the logger of the entries and the cluster.
func WithLogger(log *slog.Logger) Option { return func(c *Cluster) { c.logger = log } }

// Token and Org are the default bearer token and its organisation.
const (
	Token = "token-one"
	Org   = ident.OrgID("one")
)

const defaultListExpiry = 5 * time.Second

// Start starts the log service and the VM list. Engines, stores, apps and entries are added afterwards.
//
//	c, err := bench.Start(bench.WithRules(text))
//	defer c.Close()
func Start(options ...Option) (c *Cluster, err error) {
	defer func() { err = errors.Wrap(err, "start cluster") }()
	c = &Cluster{
		logger: slog.New(slog.DiscardHandler), tokens: map[string]ident.OrgID{Token: Org},
		settings: func(*config.Settings) {}, logSettings: fakes.LogSettings{AppendsPerSecond: 1000, Seed: 1},
	}
	for _, o := range options {
		o(c)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.dir, err = os.MkdirTemp("", "cicadavalve-bench")
	if err != nil {
		return nil, err
	}
	c.logURL, err = c.serve(fakes.NewLog(c.logSettings).Handler())
	if err != nil {
		return nil, err
	}
	c.listURL, err = c.serve(fakes.NewList(c.listLag, defaultListExpiry).Handler())
	if err != nil {
		return nil, err
	}
	return c, c.appendRules()
}

// Close kills all entries, stops all stand-ins, waits for them and removes the cluster's files.
func (c *Cluster) Close() {
	for _, e := range c.entries {
		e.Kill()
	}
	c.cancel()
	c.tasks.Wait()
	_ = os.RemoveAll(c.dir)
	http.DefaultClient.CloseIdleConnections()
}

// LogURL returns the URL of the log service.
func (c *Cluster) LogURL() string { return c.logURL }

// ListURL returns the URL of the VM list.
func (c *Cluster) ListURL() string { return c.listURL }

// Engines returns the engines in the order they were added.
func (c *Cluster) Engines() []*Engine { return c.engines }

// Apps returns the app engines in the order they were added.
func (c *Cluster) Apps() []*App { return c.apps }

// Stores returns the KV stores in the order they were added.
func (c *Cluster) Stores() []*Store { return c.stores }

// Entries returns the entries in the order they were added, including stopped ones.
func (c *Cluster) Entries() []*Entry { return c.entries }

// serverTask serves a stand-in until its server closes.
type serverTask struct {
	c      *Cluster
	server *fakes.Server
}

func (s *serverTask) run() {
	if err := s.server.Run(); err != nil {
		s.c.logger.Error("stand_in_failed", "error", err)
	}
}

// closeTask closes a stand-in's server when the cluster closes.
type closeTask struct {
	c      *Cluster
	server *fakes.Server
}

func (s *closeTask) run() {
	<-s.c.ctx.Done()
	s.server.Close()
}

// serve starts a stand-in and returns its URL.
func (c *Cluster) serve(h http.Handler) (url string, err error) {
	s, err := c.listen(h)
	if err != nil {
		return "", err
	}
	return s.URL(), nil
}

// listen starts a stand-in on a free port; it stops when the cluster closes.
func (c *Cluster) listen(h http.Handler) (s *fakes.Server, err error) {
	s, err = fakes.NewServer("127.0.0.1:0", h)
	if err != nil {
		return nil, err
	}
	c.tasks.Go((&serverTask{c, s}).run)
	c.tasks.Go((&closeTask{c, s}).run)
	return s, nil
}

// appendRules appends the configuration from WithRules, if any, to the log.
func (c *Cluster) appendRules() (err error) {
	if c.rules == "" {
		return nil
	}
	rec, err := ledger.NewRecord("bench-rules", ledger.KindConfig, "bench", ledger.ConfigBody{Operator: "bench", Text: c.rules})
	if err != nil {
		return err
	}
	logs := logsvc.NewClient(c.logURL+"/", &http.Client{})
	return logs.Append(c.ctx, ledger.StreamConfig, []ledger.Record{rec})
}

// registrarTask keeps a stand-in registered with the VM list until its context ends.
type registrarTask struct {
	c         *Cluster
	ctx       context.Context
	registrar *fakes.Registrar
}

func (r *registrarTask) run() { _ = r.registrar.Run(r.ctx) }

func (c *Cluster) startRegistrar(ctx context.Context, u sched.Upstream) {
	r := &registrarTask{c, ctx, fakes.NewRegistrar(c.listURL, u)}
	c.tasks.Go(r.run)
}

// AddWeights starts a weight store whose loads take loadDuration, and returns its URL.
func (c *Cluster) AddWeights(loadDuration time.Duration) (url string, err error) {
	return c.serve(fakes.NewWeights(loadDuration).Handler())
}

// AddEngine starts an engine and registers it with the VM list.
func (c *Cluster) AddEngine(zone ident.Zone, s fakes.EngineSettings) (e *Engine, err error) {
	e = &Engine{Engine: fakes.NewEngine(s), Zone: zone, ID: ident.UpstreamID(fmt.Sprintf("engine-%d", len(c.engines)))}
	e.server, err = c.listen(e.Handler())
	if err != nil {
		return nil, err
	}
	e.Address = e.server.Address()
	ctx, stop := context.WithCancel(c.ctx)
	e.stop = stop
	c.tasks.Go(func() { _ = e.Run(ctx) })
	c.startRegistrar(ctx, sched.Upstream{ID: e.ID, Role: sched.RoleEngine, Address: e.Address, Zone: zone})
	c.engines = append(c.engines, e)
	return e, nil
}

// Kill stops an engine at once, which breaks its connections, and removes it from the VM list.
func (e *Engine) Kill() {
	e.server.Close()
	e.stop()
}

// AddStore starts a KV store and registers it with the VM list.
func (c *Cluster) AddStore(zone ident.Zone, settings fakes.StoreSettings) (s *Store, err error) {
	s = &Store{Store: fakes.NewStore(settings), ID: ident.UpstreamID(fmt.Sprintf("store-%d", len(c.stores)))}
	s.server, err = c.listen(s.Handler())
	if err != nil {
		return nil, err
	}
	s.Address = s.server.Address()
	c.startRegistrar(c.ctx, sched.Upstream{ID: s.ID, Role: sched.RoleStore, Address: s.Address, Zone: zone})
	c.stores = append(c.stores, s)
	return s, nil
}

// Kill stops a store as if its process had been killed. It stays on the VM list.
func (s *Store) Kill() { s.server.Close() }

// AddApp starts an app engine and registers it with the VM list.
func (c *Cluster) AddApp(zone ident.Zone, service ident.ServiceName) (a *App, err error) {
	n := len(c.apps)
	a = &App{App: fakes.NewApp(uint64(n + 1)), ID: ident.UpstreamID(fmt.Sprintf("app-%d", n))}
	s, err := c.listen(a.Handler())
	if err != nil {
		return nil, err
	}
	a.Address = s.Address()
	c.startRegistrar(c.ctx, sched.Upstream{
		ID: a.ID, Role: sched.RoleApp, Address: a.Address, Zone: zone, Services: []ident.ServiceName{service},
	})
	c.apps = append(c.apps, a)
	return a, nil
}

// writeTokens writes the tokens file of the entries and returns its path.
func (c *Cluster) writeTokens() (path string, err error) {
	text := ""
	for token, org := range c.tokens {
		text += fmt.Sprintf("%s: %s\n", token, org)
	}
	path = filepath.Join(c.dir, "tokens.yaml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// Status fetches an entry's status, which has the version in force on it.
func (c *Cluster) Status(ctx context.Context, e *Entry) (peer.Status, error) {
	return peer.NewClient(http.DefaultClient, e.Peer).Status(ctx)
}
