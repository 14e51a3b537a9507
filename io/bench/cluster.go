// Package bench runs stand-ins and entries in one process, for tests and comparisons.
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
	"cicadavalve/io/logsvc"
	"cicadavalve/io/peer"
	"cicadavalve/io/stand"
)

// Engine is a model engine stand-in with its address.
type Engine struct {
	*stand.Engine
	ID      ident.UpstreamID
	Address string
	Zone    ident.Zone
	server  *stand.Server
	stop    context.CancelFunc
}

// App is an app engine stand-in with its address.
type App struct {
	*stand.App
	ID      ident.UpstreamID
	Address string
}

// Store is a KV store stand-in with its address.
type Store struct {
	*stand.Store
	ID      ident.UpstreamID
	Address string
	server  *stand.Server
}

// Cluster is a set of stand-ins and entries.
type Cluster struct {
	log      *slog.Logger
	dir      string
	tokens   map[string]ident.OrgID
	settings func(*config.Settings)
	logs     stand.LogSettings
	listLag  time.Duration
	rules    string

	logURL  string
	listURL string
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	engines []*Engine
	apps    []*App
	stores  []*Store
	entries []*Entry
	started int
}

// Option sets one property of a [Cluster].
type Option func(*Cluster)

// WithTokens sets the organisations and their bearer tokens.
func WithTokens(tokens map[string]ident.OrgID) Option { return func(c *Cluster) { c.tokens = tokens } }

// WithSettings changes the settings of every entry before it starts.
func WithSettings(change func(*config.Settings)) Option {
	return func(c *Cluster) { c.settings = change }
}

// WithLog sizes the log service.
func WithLog(s stand.LogSettings) Option { return func(c *Cluster) { c.logs = s } }

// WithListLag sets how late the VM list is.
func WithListLag(lag time.Duration) Option { return func(c *Cluster) { c.listLag = lag } }

// WithRules puts an operator's file in force as the first version.
func WithRules(text string) Option { return func(c *Cluster) { c.rules = text } }

// WithLogger sets where the entries log.
func WithLogger(log *slog.Logger) Option { return func(c *Cluster) { c.log = log } }

// Token is the bearer token of the default organisation.
const (
	Token = "token-one"
	Org   = ident.OrgID("one")
)

const defaultListExpiry = 5 * time.Second

// Start starts the platform's stand-ins. Engines, apps and entries are added afterwards.
//
//	c, err := bench.Start(bench.WithRules(text))
//	defer c.Close()
func Start(options ...Option) (c *Cluster, err error) {
	defer func() { err = errors.Wrap(err, "start cluster") }()
	c = &Cluster{
		log: slog.New(slog.DiscardHandler), tokens: map[string]ident.OrgID{Token: Org},
		settings: func(*config.Settings) {}, logs: stand.LogSettings{AppendsPerSecond: 1000, Seed: 1},
	}
	for _, o := range options {
		o(c)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.dir, err = os.MkdirTemp("", "cicadavalve-bench")
	if err != nil {
		return nil, err
	}
	c.logURL, err = c.serve(stand.NewLog(c.logs).Handler())
	if err != nil {
		return nil, err
	}
	c.listURL, err = c.serve(stand.NewList(c.listLag, defaultListExpiry).Handler())
	if err != nil {
		return nil, err
	}
	return c, c.putRules()
}

// Close ends everything at once.
func (c *Cluster) Close() {
	for _, e := range c.entries {
		e.Kill()
	}
	c.cancel()
	c.running.Wait()
	_ = os.RemoveAll(c.dir)
	http.DefaultClient.CloseIdleConnections()
}

// LogURL and ListURL locate the platform's stand-ins, for their faults.
func (c *Cluster) LogURL() string { return c.logURL }

// ListURL locates the VM list.
func (c *Cluster) ListURL() string { return c.listURL }

// Engines are the engines in the order they were added.
func (c *Cluster) Engines() []*Engine { return c.engines }

// Apps are the app engines in the order they were added.
func (c *Cluster) Apps() []*App { return c.apps }

// Stores are the KV stores in the order they were added.
func (c *Cluster) Stores() []*Store { return c.stores }

// Entries are the entries in the order they were added, stopped ones included.
func (c *Cluster) Entries() []*Entry { return c.entries }

// service runs one stand-in until the cluster closes.
type service struct {
	c      *Cluster
	server *stand.Server
}

func (s *service) run() {
	if err := s.server.Run(); err != nil {
		s.c.log.Error("stand_in_failed", "error", err)
	}
}

// closer ends a stand-in when the cluster closes.
type closer struct {
	c      *Cluster
	server *stand.Server
}

func (s *closer) run() {
	<-s.c.ctx.Done()
	s.server.Close()
}

func (c *Cluster) serve(h http.Handler) (url string, err error) {
	s, err := c.listen(h)
	if err != nil {
		return "", err
	}
	return s.URL(), nil
}

func (c *Cluster) listen(h http.Handler) (s *stand.Server, err error) {
	s, err = stand.NewServer("127.0.0.1:0", h)
	if err != nil {
		return nil, err
	}
	c.running.Go((&service{c, s}).run)
	c.running.Go((&closer{c, s}).run)
	return s, nil
}

// putRules appends the first configuration.
func (c *Cluster) putRules() (err error) {
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

// registration keeps a stand-in on the VM list.
type registration struct {
	c   *Cluster
	ctx context.Context
	r   *stand.Registrar
}

func (r *registration) run() { _ = r.r.Run(r.ctx) }

func (c *Cluster) register(ctx context.Context, u sched.Upstream) {
	r := &registration{c, ctx, stand.NewRegistrar(c.listURL, u)}
	c.running.Go(r.run)
}

// AddWeights starts a weight store whose loads take a given time, and returns its URL.
func (c *Cluster) AddWeights(takes time.Duration) (url string, err error) {
	return c.serve(stand.NewWeights(takes).Handler())
}

// AddEngine starts an engine and puts it on the list.
func (c *Cluster) AddEngine(zone ident.Zone, s stand.EngineSettings) (e *Engine, err error) {
	e = &Engine{Engine: stand.NewEngine(s), Zone: zone, ID: ident.UpstreamID(fmt.Sprintf("engine-%d", len(c.engines)))}
	e.server, err = c.listen(e.Handler())
	if err != nil {
		return nil, err
	}
	e.Address = e.server.Address()
	ctx, stop := context.WithCancel(c.ctx)
	e.stop = stop
	c.running.Go(func() { _ = e.Run(ctx) })
	c.register(ctx, sched.Upstream{ID: e.ID, Role: sched.RoleEngine, Address: e.Address, Zone: zone})
	c.engines = append(c.engines, e)
	return e, nil
}

// Kill ends an engine's process without a word.
func (e *Engine) Kill() {
	e.server.Close()
	e.stop()
}

// AddStore starts a KV store and puts it on the list.
func (c *Cluster) AddStore(zone ident.Zone, settings stand.StoreSettings) (s *Store, err error) {
	s = &Store{Store: stand.NewStore(settings), ID: ident.UpstreamID(fmt.Sprintf("store-%d", len(c.stores)))}
	s.server, err = c.listen(s.Handler())
	if err != nil {
		return nil, err
	}
	s.Address = s.server.Address()
	c.register(c.ctx, sched.Upstream{ID: s.ID, Role: sched.RoleStore, Address: s.Address, Zone: zone})
	c.stores = append(c.stores, s)
	return s, nil
}

// Kill ends a store's process; the list goes on to show it.
func (s *Store) Kill() { s.server.Close() }

// AddApp starts an app engine and puts it on the list.
func (c *Cluster) AddApp(zone ident.Zone, service ident.ServiceName) (a *App, err error) {
	n := len(c.apps)
	a = &App{App: stand.NewApp(uint64(n + 1)), ID: ident.UpstreamID(fmt.Sprintf("app-%d", n))}
	s, err := c.listen(a.Handler())
	if err != nil {
		return nil, err
	}
	a.Address = s.Address()
	c.register(c.ctx, sched.Upstream{
		ID: a.ID, Role: sched.RoleApp, Address: a.Address, Zone: zone, Services: []ident.ServiceName{service},
	})
	c.apps = append(c.apps, a)
	return a, nil
}

// tokensFile writes the tokens for the entries.
func (c *Cluster) tokensFile() (path string, err error) {
	text := ""
	for token, org := range c.tokens {
		text += fmt.Sprintf("%s: %s\n", token, org)
	}
	path = filepath.Join(c.dir, "tokens.yaml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// Status asks an entry what is in force on it.
func (c *Cluster) Status(ctx context.Context, e *Entry) (peer.Status, error) {
	return peer.NewClient(http.DefaultClient, e.Peer).Status(ctx)
}
