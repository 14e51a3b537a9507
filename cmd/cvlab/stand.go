package main

import (
	"context"
	"net/http"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/fakes"
)

// standFlags are the flags that all stand-ins share.
type standFlags struct {
	listen      string
	addressFile string
	listURL     string
	id          string
	zone        string
	seed        uint64
}

func (f *standFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.listen, "listen", "127.0.0.1:0", "host and port to listen on; port 0 selects a free one")
	cmd.Flags().StringVar(&f.addressFile, "address-file", "", "a file to write the address to")
	cmd.Flags().StringVar(&f.listURL, "list", "", "the URL of the VM list to register with")
	cmd.Flags().StringVar(&f.id, "id", "", "the name on the VM list")
	cmd.Flags().StringVar(&f.zone, "zone", "", "the availability zone")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "the seed of the random numbers")
}

// serve runs a stand-in, and registers it with the VM list if there is one, until the context ends.
func (f *standFlags) serve(ctx context.Context, h http.Handler, role sched.Role, services ...ident.ServiceName) (err error) {
	s, err := fakes.NewServer(f.listen, h)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(s.Run)
	if f.addressFile != "" {
		if err := s.WriteAddress(f.addressFile); err != nil {
			return err
		}
	}
	if f.listURL != "" {
		r := fakes.NewRegistrar(f.listURL, sched.Upstream{
			ID: ident.UpstreamID(f.id), Role: role, Address: s.Address(), Zone: ident.Zone(f.zone), Services: services,
		})
		group.Go(func() error { return r.Run(ctx) })
	}
	<-ctx.Done()
	s.Close()
	return group.Wait()
}

func newStandCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "stand", Short: "Run a stand-in as a process"}
	cmd.AddCommand(
		newLogStand(), newListStand(), newWeightsStand(), newStoreStand(), newEngineStand(), newAppStand(),
	)
	return cmd
}

func standCommand(use, short string, f *standFlags, run func(ctx context.Context) error) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context()) },
	}
	f.register(cmd)
	return cmd
}

func newLogStand() *cobra.Command {
	var f standFlags
	var s fakes.LogSettings
	cmd := standCommand("log", "The platform's log service", &f, func(ctx context.Context) error {
		s.Seed = f.seed
		return f.serve(ctx, fakes.NewLog(s).Handler(), "")
	})
	cmd.Flags().Float64Var(&s.AppendsPerSecond, "appends", 300, "appends a second over all streams")
	cmd.Flags().IntVar(&s.Retain, "retain", 0, "records retained per stream; 0 means all")
	return cmd
}

func newListStand() *cobra.Command {
	var f standFlags
	var lag, expire time.Duration
	cmd := standCommand("list", "The platform's list of VMs", &f, func(ctx context.Context) error {
		return f.serve(ctx, fakes.NewList(lag, expire).Handler(), "")
	})
	cmd.Flags().DurationVar(&lag, "lag", time.Second, "the delay until the list shows a change")
	cmd.Flags().DurationVar(&expire, "expire", 5*time.Second, "how long the list still shows a stopped VM")
	return cmd
}

func newWeightsStand() *cobra.Command {
	var f standFlags
	var loadDuration time.Duration
	cmd := standCommand("weights", "The rate-limited weight store", &f, func(ctx context.Context) error {
		return f.serve(ctx, fakes.NewWeights(loadDuration).Handler(), "")
	})
	cmd.Flags().DurationVar(&loadDuration, "takes", 800*time.Millisecond, "how long loading a weight version takes; more than two loads at once slow each other down")
	return cmd
}

func newStoreStand() *cobra.Command {
	var f standFlags
	var s fakes.StoreSettings
	cmd := standCommand("store", "A KV store with memory and disk behind a limited link", &f, func(ctx context.Context) error {
		return f.serve(ctx, fakes.NewStore(s).Handler(), sched.RoleStore)
	})
	cmd.Flags().Int64Var(&s.MemoryBytes, "memory", 64<<20, "bytes of memory")
	cmd.Flags().Int64Var(&s.DiskBytes, "disk", 256<<20, "bytes of disk")
	cmd.Flags().Float64Var(&s.LinkRate, "link", 64<<20, "bandwidth of the link in bytes a second")
	cmd.Flags().Float64Var(&s.DiskRate, "disk-rate", 32<<20, "read rate of the disk in bytes a second")
	return cmd
}

func newEngineStand() *cobra.Command {
	var f standFlags
	var s fakes.EngineSettings
	cmd := standCommand("engine", "A model engine with continuous batching", &f, func(ctx context.Context) error {
		s.Seed = f.seed
		e := fakes.NewEngine(s)
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return e.Run(ctx) })
		group.Go(func() error { return f.serve(ctx, e.Handler(), sched.RoleEngine) })
		return group.Wait()
	})
	cmd.Flags().StringVar((*string)(&s.Model), "model", "", "the model that it has loaded")
	cmd.Flags().StringVar((*string)(&s.Version), "version", "v1", "the weight version that it has loaded")
	cmd.Flags().Float64Var(&s.PrefillRate, "prefill-rate", 20000, "prompt tokens prefilled a second")
	cmd.Flags().DurationVar(&s.StepDuration, "step", 8*time.Millisecond, "the base duration of a decoding step")
	cmd.Flags().DurationVar(&s.SequenceDuration, "sequence", 300*time.Microsecond, "the duration that each sequence in the batch adds to a step")
	cmd.Flags().IntVar(&s.MaxBatch, "batch", 16, "the maximum number of sequences in a batch")
	cmd.Flags().IntVar(&s.CacheBlocks, "cache", 64, "capacity of the prefix cache in blocks of 1,024 tokens")
	cmd.Flags().DurationVar(&s.ColdDuration, "cold-time", 2*time.Second, "how long the engine is cold after a boot")
	cmd.Flags().IntVar(&s.MaxColdRequests, "cold-bears", 2, "the maximum number of concurrent requests while cold; 0 means no limit")
	cmd.Flags().DurationVar(&s.LoadLag, "load-lag", 200*time.Millisecond, "the delay of the load report")
	cmd.Flags().DurationVar(&s.EventLag, "event-lag", 500*time.Millisecond, "the delay of cache events")
	cmd.Flags().StringVar(&s.WeightsURL, "weights", "", "the URL of the weight store")
	cmd.Flags().BoolVar(&s.IgnoreFencing, "ignore-fencing", false, "accept orders with an old fencing number")
	return cmd
}

func newAppStand() *cobra.Command {
	var f standFlags
	var service string
	cmd := standCommand("app", "An app engine that counts how often each call ran", &f, func(ctx context.Context) error {
		return f.serve(ctx, fakes.NewApp(f.seed).Handler(), sched.RoleApp, ident.ServiceName(service))
	})
	cmd.Flags().StringVar(&service, "service", "booking", "the service that it runs")
	return cmd
}
