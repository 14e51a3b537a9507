package versus

import (
	"context"
	"time"

	"cicadavalve/io/bench"
)

// incident brings a scenario's trouble about while the load runs.
type incident struct {
	plan Plan
	c    *bench.Cluster
	done chan struct{}
	err  error
}

// run acts after a third of the load, and again after two thirds.
func (i *incident) run(ctx context.Context) {
	defer close(i.done)
	for _, act := range []func(context.Context) error{i.begin, i.end} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(i.plan.Length / 3):
		}
		if i.err = act(ctx); i.err != nil {
			return
		}
	}
}

func (i *incident) begin(ctx context.Context) error {
	switch i.plan.Scenario {
	case Cold:
		for _, e := range i.c.Engines()[:3] {
			if err := bench.Post(ctx, e.Address, "/cold", nil); err != nil {
				return err
			}
		}
	case Zone:
		drain := "drain az " + string(zoneName(1)) + "  # asked by: compare\n"
		return i.c.Apply(ctx, i.c.Entries()[0], i.plan.rules()+drain)
	case EngineDeath:
		i.c.Engines()[0].Kill()
	}
	return nil
}

func (i *incident) end(ctx context.Context) error {
	if i.plan.Scenario == Zone {
		return i.c.Apply(ctx, i.c.Entries()[0], i.plan.rules())
	}
	return nil
}
