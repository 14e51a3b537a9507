package abtest

import (
	"context"
	"encoding/json"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"cicadavalve/core/ident"
	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
)

// Fleet lists the addresses of the processes in the run of one policy.
type Fleet struct {
	// Policy is the name of the run, one of [Policies].
	Policy  string        `yaml:"policy"`
	LogURL  string        `yaml:"log_url"`
	Entries []FleetEntry  `yaml:"entries"`
	Engines []FleetEngine `yaml:"engines"`
	// Stores are the addresses of the KV stores, if any.
	Stores []string `yaml:"stores"`
}

// FleetEntry has an entry's addresses for callers and for other entries.
type FleetEntry struct {
	Caller string `yaml:"caller"`
	Peer   string `yaml:"peer"`
}

// FleetEngine is a stand-in for a model engine.
type FleetEngine struct {
	Address string     `yaml:"address"`
	Zone    ident.Zone `yaml:"zone"`
	// PID is the engine's process id, or 0 if it runs in this process.
	PID int `yaml:"pid"`
	// stop stops an engine of this process; nil if the engine is another process.
	stop func()
}

// LoadFleet reads a fleet from a YAML file.
func LoadFleet(path string) (f Fleet, err error) {
	defer func() { err = errors.Wrapf(err, "fleet %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	if err := yaml.UnmarshalWithOptions(raw, &f, yaml.Strict()); err != nil {
		return f, err
	}
	if len(f.Entries) == 0 || len(f.Engines) == 0 {
		return f, errors.New("expected entries and engines")
	}
	return f, nil
}

// newFleet returns the fleet of a cluster in this process.
func newFleet(policy string, c *bench.Cluster) Fleet {
	f := Fleet{Policy: policy, LogURL: c.LogURL()}
	for _, e := range c.Entries() {
		f.Entries = append(f.Entries, FleetEntry{e.Caller, e.Peer})
	}
	for _, e := range c.Engines() {
		f.Engines = append(f.Engines, FleetEngine{Address: e.Address, Zone: e.Zone, stop: e.Kill})
	}
	for _, s := range c.Stores() {
		f.Stores = append(f.Stores, s.Address)
	}
	return f
}

func (f Fleet) callerAddresses() (addresses []string) {
	for _, e := range f.Entries {
		addresses = append(addresses, e.Caller)
	}
	return addresses
}

func (f Fleet) apply(ctx context.Context, text string) error {
	return bench.Apply(ctx, f.LogURL, f.Entries[0].Peer, text)
}

// kill kills an engine's process, or stops the engine if it runs in this process.
func (e FleetEngine) kill() (err error) {
	if e.stop != nil {
		e.stop()
		return nil
	}
	defer func() { err = errors.Wrapf(err, "kill engine at %s", e.Address) }()
	process, err := os.FindProcess(e.PID)
	if err != nil {
		return err
	}
	return process.Kill()
}

func (e FleetEngine) stats(ctx context.Context) (s fakes.EngineStats, err error) {
	raw, err := bench.Get(ctx, "http://"+e.Address+"/stats")
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(raw, &s)
}

// stats fetches the statistics of every engine. They are zero for an engine that does not answer.
func (f Fleet) stats(ctx context.Context) (all []fakes.EngineStats) {
	for _, e := range f.Engines {
		s, _ := e.stats(ctx)
		all = append(all, s)
	}
	return all
}

// linkBytes returns the bytes moved over the links of all stores. A store that does not answer adds nothing.
func (f Fleet) linkBytes(ctx context.Context) (sum int64) {
	for _, address := range f.Stores {
		var s fakes.StoreStats
		if raw, err := bench.Get(ctx, "http://"+address+"/stats"); err == nil && json.Unmarshal(raw, &s) == nil {
			sum += s.LinkBytes
		}
	}
	return sum
}

// startedIn returns the number of completions started on the engines of a zone.
func (f Fleet) startedIn(ctx context.Context, zone ident.Zone) (n int) {
	for i, s := range f.stats(ctx) {
		if f.Engines[i].Zone == zone {
			n += s.Completions
		}
	}
	return n
}

// serves reports whether an entry answers a completion of a model with status 200.
func (e FleetEntry) serves(ctx context.Context, token string, model ident.ModelName) bool {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": "ready?", "max_tokens": 1})
	a, err := bench.Call(ctx, &bench.Entry{Caller: e.Caller}, token, "/v1/completions", "", string(body))
	return err == nil && a.Status == http.StatusOK
}
