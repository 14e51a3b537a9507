package versus

import (
	"context"
	"encoding/json"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"cicadavalve/core/ident"
	"cicadavalve/io/bench"
	"cicadavalve/io/stand"
)

// Fleet is where the processes of one policy's run listen.
type Fleet struct {
	// Policy is the run, one of [Policies].
	Policy  string        `yaml:"policy"`
	LogURL  string        `yaml:"log_url"`
	Entries []FleetEntry  `yaml:"entries"`
	Engines []FleetEngine `yaml:"engines"`
	// Stores are the addresses of KV stores; there may be none.
	Stores []string `yaml:"stores"`
}

// FleetEntry is an entry's two addresses.
type FleetEntry struct {
	Caller string `yaml:"caller"`
	Peer   string `yaml:"peer"`
}

// FleetEngine is a stand-in for a model engine.
type FleetEngine struct {
	Address string     `yaml:"address"`
	Zone    ident.Zone `yaml:"zone"`
	// PID is the engine's process, or 0 where it runs in this one.
	PID int `yaml:"pid"`
	// stop ends an engine of this process.
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

// fleetOf lists what a cluster of this process runs.
func fleetOf(policy string, c *bench.Cluster) Fleet {
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

func (f Fleet) callers() (addresses []string) {
	for _, e := range f.Entries {
		addresses = append(addresses, e.Caller)
	}
	return addresses
}

func (f Fleet) apply(ctx context.Context, text string) error {
	return bench.Apply(ctx, f.LogURL, f.Entries[0].Peer, text)
}

// kill ends an engine's process without a word.
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

func (e FleetEngine) stats(ctx context.Context) (s stand.EngineStats, err error) {
	raw, err := bench.Get(ctx, "http://"+e.Address+"/stats")
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(raw, &s)
}

// stats asks every engine; a dead one counts as having done nothing.
func (f Fleet) stats(ctx context.Context) (all []stand.EngineStats) {
	for _, e := range f.Engines {
		s, _ := e.stats(ctx)
		all = append(all, s)
	}
	return all
}

// linkBytes asks every store; a dead one counts as having moved nothing.
func (f Fleet) linkBytes(ctx context.Context) (sum int64) {
	for _, address := range f.Stores {
		var s stand.StoreStats
		if raw, err := bench.Get(ctx, "http://"+address+"/stats"); err == nil && json.Unmarshal(raw, &s) == nil {
			sum += s.LinkBytes
		}
	}
	return sum
}

// startedIn counts the completions that have begun in a zone.
func (f Fleet) startedIn(ctx context.Context, zone ident.Zone) (n int) {
	for i, s := range f.stats(ctx) {
		if f.Engines[i].Zone == zone {
			n += s.Completions
		}
	}
	return n
}

// serves reports whether an entry answers a completion of a model.
func (e FleetEntry) serves(ctx context.Context, token string, model ident.ModelName) bool {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": "ready?", "max_tokens": 1})
	a, err := bench.Call(ctx, &bench.Entry{Caller: e.Caller}, token, "/v1/completions", "", string(body))
	return err == nil && a.Status == http.StatusOK
}
