package versus

import (
	"context"
	"time"

	"cicadavalve/io/bench"
	"cicadavalve/io/stand"
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
	case SlowLink:
		return i.setStores(ctx, stand.StoreFaults{SlowBy: slowLinkBy})
	}
	return nil
}

func (i *incident) end(ctx context.Context) error {
	switch i.plan.Scenario {
	case Zone:
		return i.c.Apply(ctx, i.c.Entries()[0], i.plan.rules())
	case SlowLink:
		return i.setStores(ctx, stand.StoreFaults{})
	}
	return nil
}

// slowLinkBy divides the rate of the stores' links under [SlowLink].
const slowLinkBy = 200

func (i *incident) setStores(ctx context.Context, faults stand.StoreFaults) (err error) {
	for _, s := range i.c.Stores() {
		if err := bench.Fault(ctx, s.Address, faults); err != nil {
			return err
		}
	}
	return nil
}
