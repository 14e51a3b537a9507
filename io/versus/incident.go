package versus

import (
	"context"
	"fmt"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/io/bench"
	"cicadavalve/io/stand"
)

const (
	coldEngines = 3
	// drainGrace is how long after its rule a drained zone may still get new work.
	drainGrace = 3 * time.Second
	// newVersion is the bad one of the scenario [BadVersion].
	newVersion = ident.Version("v2")
	badFail    = 0.5
	// moveTime is by when the move to the new version is ordered to be done.
	moveTime = 2 * time.Minute
	// linkSlowBy divides the rate of the stores' links in the scenario [SlowLink].
	linkSlowBy = 64
)

// incident brings a scenario's trouble about while the load runs.
type incident struct {
	plan  Plan
	fleet Fleet
	zone  ident.Zone
	done  chan struct{}
	err   error
	// mostAtTurn is the most requests that an engine had when it was turned cold.
	mostAtTurn int
	// startedEarly counts what the drained zone had begun at the end of drainGrace, startedLate at the
	// end of the drain.
	startedEarly, startedLate int
}

// run acts after a third of the load, and again after two thirds.
func (i *incident) run(ctx context.Context) {
	defer close(i.done)
	for _, act := range []func(context.Context) error{i.begin, i.end} {
		if !sleep(ctx, i.plan.Length/3) {
			return
		}
		if i.err = act(ctx); i.err != nil {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (i *incident) begin(ctx context.Context) error {
	switch i.plan.Scenario {
	case Cold:
		return i.turnCold(ctx)
	case Zone:
		return i.drain(ctx)
	case BadVersion:
		return i.move(ctx)
	case SlowLink:
		return i.slowLinks(ctx, linkSlowBy)
	case EngineDeath:
		return i.fleet.Engines[0].kill()
	}
	return nil
}

func (i *incident) end(ctx context.Context) error {
	switch i.plan.Scenario {
	case Zone:
		i.startedLate = i.fleet.startedIn(ctx, i.zone)
		return i.fleet.apply(ctx, i.plan.rules())
	case SlowLink:
		return i.slowLinks(ctx, 1)
	}
	return nil
}

func (i *incident) turnCold(ctx context.Context) error {
	for _, e := range i.fleet.Engines[:min(coldEngines, len(i.fleet.Engines))] {
		if err := bench.Post(ctx, e.Address, "/cold", nil); err != nil {
			return err
		}
	}
	for _, s := range i.fleet.stats(ctx) {
		i.mostAtTurn = max(i.mostAtTurn, s.MostWhileCold)
	}
	return nil
}

// drain takes the second engine's zone out, and counts from when it must have no new work.
func (i *incident) drain(ctx context.Context) error {
	i.zone = i.fleet.Engines[1].Zone
	rule := fmt.Sprintf("drain az %s  # asked by: compare\n", i.zone)
	if err := i.fleet.apply(ctx, i.plan.rules()+rule); err != nil {
		return err
	}
	if sleep(ctx, drainGrace) {
		i.startedEarly = i.fleet.startedIn(ctx, i.zone)
	}
	return nil
}

// move begins a move to a version that fails part of its requests.
func (i *incident) move(ctx context.Context) error {
	for _, e := range i.fleet.Engines {
		faults := stand.EngineFaults{BadVersion: newVersion, BadFail: badFail, BadPriority: -1}
		if err := bench.Fault(ctx, e.Address, faults); err != nil {
			return err
		}
	}
	by := time.Now().Add(moveTime).UTC().Format(time.RFC3339)
	rule := fmt.Sprintf("move model %s from v1 to %s by %s share 10%%  # asked by: compare\n",
		i.plan.Preset.Streams[0].Model, newVersion, by)
	return i.fleet.apply(ctx, i.plan.rules()+rule)
}

func (i *incident) slowLinks(ctx context.Context, by float64) error {
	for _, address := range i.fleet.Stores {
		if err := bench.Fault(ctx, address, stand.StoreFaults{SlowBy: by}); err != nil {
			return err
		}
	}
	return nil
}
