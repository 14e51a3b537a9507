package abtest

import (
	"context"
	"fmt"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/io/bench"
	"cicadavalve/io/fakes"
)

const (
	coldEngines = 3
	// drainGrace is the time after the drain rule during which the zone may still start new requests.
	drainGrace = 3 * time.Second
	// newVersion is the faulty version in the scenario [BadVersion].
	newVersion = ident.Version("v2")
	badFail    = 0.5
	// moveTimeout is the time from the start of a version move to the deadline in its rule.
	moveTimeout = 2 * time.Minute
	// linkSlowdown is the factor by which the scenario [SlowLink] slows the stores' links.
	linkSlowdown = 64
)

// incident injects a scenario's fault or rule change while the load runs.
type incident struct {
	plan  Plan
	fleet Fleet
	zone  ident.Zone
	done  chan struct{}
	err   error
	// maxWhenTurnedCold is the highest MaxWhileCold of all engines right after some of them were turned cold.
	maxWhenTurnedCold int
	// startedEarly is the number of completions started in the drained zone by the end of drainGrace, startedLate by
	// the end of the drain.
	startedEarly, startedLate int
}

// run starts the incident after a third of the load and ends it after two thirds.
func (i *incident) run(ctx context.Context) {
	defer close(i.done)
	for _, act := range []func(context.Context) error{i.start, i.end} {
		if !sleep(ctx, i.plan.Length/3) {
			return
		}
		if i.err = act(ctx); i.err != nil {
			return
		}
	}
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (i *incident) start(ctx context.Context) error {
	switch i.plan.Scenario {
	case Cold:
		return i.turnCold(ctx)
	case Zone:
		return i.drainZone(ctx)
	case BadVersion:
		return i.startMove(ctx)
	case SlowLink:
		return i.slowLinks(ctx, linkSlowdown)
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
		i.maxWhenTurnedCold = max(i.maxWhenTurnedCold, s.MaxWhileCold)
	}
	return nil
}

// drainZone drains the second engine's zone, and counts the zone's completions once drainGrace is over.
func (i *incident) drainZone(ctx context.Context) error {
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

// startMove starts a move to a version that fails the share badFail of its requests.
func (i *incident) startMove(ctx context.Context) error {
	for _, e := range i.fleet.Engines {
		faults := fakes.EngineFaults{BadVersion: newVersion, BadFail: badFail, BadPriority: -1}
		if err := bench.SetFaults(ctx, e.Address, faults); err != nil {
			return err
		}
	}
	by := time.Now().Add(moveTimeout).UTC().Format(time.RFC3339)
	rule := fmt.Sprintf("move model %s from v1 to %s by %s share 10%%  # asked by: compare\n",
		i.plan.Preset.Streams[0].Model, newVersion, by)
	return i.fleet.apply(ctx, i.plan.rules()+rule)
}

func (i *incident) slowLinks(ctx context.Context, by float64) error {
	for _, address := range i.fleet.Stores {
		if err := bench.SetFaults(ctx, address, fakes.StoreFaults{SlowBy: by}); err != nil {
			return err
		}
	}
	return nil
}
