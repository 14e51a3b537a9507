package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"cicadavalve/core/cache"
	"cicadavalve/core/ident"
	"cicadavalve/io/config"
	"cicadavalve/io/engine"
	"cicadavalve/io/store"
)

const (
	// exportWorkers is how many exports run at once over all stores.
	exportWorkers = 4
	exportQueue   = 64
	// reportTimeout bounds telling the deciders how an import ended.
	reportTimeout = time.Second
	// discardTimeout bounds the deletion of the blocks of one failed export.
	discardTimeout = time.Second
)

// keeper moves kept context between engines and stores as the deciders order it.
type keeper struct {
	d       *Daemon
	engines engine.Transfers
	stores  store.Store
	exports queue[cache.ExportCmd]

	prompts *heldPrompts
}

func newKeeper(d *Daemon, stores store.Store) *keeper {
	return &keeper{
		d: d, engines: d.engines, stores: stores, prompts: newHeldPrompts(),
		exports: newQueue[cache.ExportCmd](exportQueue),
	}
}

func cacheLimits(s config.Settings) cache.Limits {
	return cache.Limits{
		Off: !s.UseStores, ImportDeadline: time.Duration(s.ImportDeadline), ExportDeadline: time.Duration(s.ExportDeadline),
		LinkTransfers: s.LinkTransfers, LinkRate: s.LinkRate, LeastTokens: s.StoreLeastTokens, MostQueued: s.ExportQueue,
		AssumeHeld: time.Duration(s.AssumeHeld),
	}
}

// performCache performs the commands of kept context that no request waits for.
func (d *Daemon) performCache(cmd ident.Cmd) (done bool) {
	switch cmd := cmd.(type) {
	case cache.ImportCmd:
		d.sessions.deliver(cmd.Request, cmd)
	case cache.RecomputeCmd:
		d.meter.Count("recomputed_instead_"+string(cmd.Cause), 1)
	case cache.DropCmd:
		d.keeper.prompts.take(cmd.Request)
		d.meter.Count("exports_dropped_"+string(cmd.Cause), 1)
	case cache.ExportCmd:
		if !d.keeper.exports.offer(cmd) {
			d.log.Error("export_queue_full", "store", cmd.Store)
			d.keeper.prompts.take(cmd.Request)
		}
	default:
		return false
	}
	return true
}

// hold keeps a prompt for an export where stores are used.
func (k *keeper) hold(id ident.RequestID, prompt string) {
	if k.d.settings.UseStores {
		k.prompts.hold(time.Now(), id, prompt)
	}
}

// contextOf names the kept context of an organisation's prompt.
func (d *Daemon) contextOf(org ident.OrgID, model ident.ModelName, version ident.Version, prompt string) *store.Context {
	h := d.mac("kept context")
	_, _ = h.Write([]byte(org))
	return store.NewContext(h.Sum(nil), model, version, prompt, blockBytes)
}

func (k *keeper) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range exportWorkers {
		w := &exportWorker{k}
		group.Go(func() error { return w.run(ctx) })
	}
	return group.Wait()
}

// exportWorker runs exports, one at a time.
type exportWorker struct{ k *keeper }

func (w *exportWorker) run(ctx context.Context) error {
	return w.k.exports.run(ctx, w.k.export)
}

func (k *keeper) export(ctx context.Context, cmd cache.ExportCmd) {
	msg := cache.ExportedMsg{Request: cmd.Request, Store: cmd.Store, Cause: cache.CauseLate}
	if prompt, held := k.prompts.take(cmd.Request); held {
		exporting, cancel := context.WithTimeout(ctx, cmd.Deadline)
		k.exportPrompt(exporting, cmd, prompt, &msg)
		cancel()
	}
	k.d.post(ctx, msg)
	k.count("export", cmd.Store, msg.Cause, msg.Bytes)
}

// exportPrompt adds what the store lacks of a context, and commits the manifest last.
func (k *keeper) exportPrompt(ctx context.Context, cmd cache.ExportCmd, prompt string, msg *cache.ExportedMsg) {
	c := k.d.contextOf(cmd.Org, cmd.Model, cmd.Version, prompt)
	stored, all, err := k.read(ctx, cmd.StoreAddress, c)
	if err != nil && !errors.Is(err, store.ErrAbsent) && !errors.Is(err, store.ErrManifest) {
		msg.Cause = storeCause(ctx, err)
		return
	}
	// Of prompts that share their first block only the longest is stored.
	if len(stored) == c.Blocks() || all >= c.Blocks() {
		msg.Cause, msg.Stored = cache.CauseStored, len(stored)
		return
	}
	names := make([]string, c.Blocks()-len(stored))
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", cmd.Generation, i)
	}
	done, err := k.exportBlocks(ctx, cmd, prompt, len(stored), names, msg)
	if err != nil {
		msg.Cause = engineCause(ctx)
	}
	k.discard(ctx, cmd.StoreAddress, names[len(done):])
	if len(done) == 0 || len(stored)+len(done) < all {
		k.discard(ctx, cmd.StoreAddress, names[:len(done)])
		return
	}
	k.commit(ctx, cmd, c, append(stored, done...), names[:len(done)], msg)
}

// exportBlocks orders the engine to export, and notes what went over the link.
func (k *keeper) exportBlocks(
	ctx context.Context, cmd cache.ExportCmd, prompt string, from int, names []string, msg *cache.ExportedMsg,
) (blocks []engine.Block, err error) {
	began := time.Now()
	done, err := k.engines.Export(ctx, cmd.Address, engine.Export{
		Store: cmd.StoreAddress, CacheSalt: k.d.cacheSalt(cmd.Org), Model: cmd.Model, Version: cmd.Version,
		Prompt: prompt, From: from, Names: names, DeadlineMs: cmd.Deadline.Milliseconds(),
	})
	if err != nil {
		return nil, err
	}
	msg.Moved, msg.Bytes, msg.Took = len(done.Blocks), done.Bytes, time.Since(began)
	msg.Cause = faultCause(done.Fault)
	if msg.Cause == "" && len(done.Blocks) < len(names) {
		msg.Cause = cache.CauseLate
	}
	return done.Blocks, nil
}

// commit writes the manifest. Where it may have been committed, its blocks stay until the store evicts them.
func (k *keeper) commit(
	ctx context.Context, cmd cache.ExportCmd, c *store.Context, blocks []engine.Block, names []string, msg *cache.ExportedMsg,
) {
	raw, err := c.Seal(blocks)
	if err == nil {
		err = k.stores.Put(ctx, cmd.StoreAddress, c.Name(), raw)
	}
	if err == nil {
		msg.Stored = len(blocks)
		return
	}
	msg.Cause = storeCause(ctx, err)
	if !errors.Is(err, store.ErrUncertain) {
		k.discard(ctx, cmd.StoreAddress, names)
	}
}

// discard deletes blocks that no manifest names or ever will; what is not deleted the store evicts in time.
func (k *keeper) discard(ctx context.Context, address string, names []string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
	defer cancel()
	for _, name := range names {
		if k.stores.Delete(ctx, address, name) != nil {
			return
		}
	}
}

// read lists the leading blocks of a context that its manifest names; all counts the blocks named.
func (k *keeper) read(ctx context.Context, address string, c *store.Context) (blocks []engine.Block, all int, err error) {
	if c.Blocks() == 0 {
		return nil, 0, store.ErrAbsent
	}
	raw, err := k.stores.Get(ctx, address, c.Name())
	if err != nil {
		return nil, 0, err
	}
	return c.Open(raw)
}

// fetch imports the context of an attempt before it is sent, and returns at the deadline at the latest.
func (c *completion) fetch(ctx context.Context, cmd cache.ImportCmd) {
	msg := cache.ImportedMsg{Request: cmd.Request, Attempt: cmd.Attempt, Store: cmd.Store}
	importing, cancel := context.WithTimeout(ctx, cmd.Deadline)
	c.d.keeper.fetch(importing, cmd, c.req.Prompt, &msg)
	cancel()
	if ctx.Err() != nil {
		msg.Cause = cache.CauseCancelled
	}
	reporting, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	c.d.post(reporting, msg)
	c.d.keeper.count("import", cmd.Store, msg.Cause, msg.Bytes)
}

func (k *keeper) fetch(ctx context.Context, cmd cache.ImportCmd, prompt string, msg *cache.ImportedMsg) {
	c := k.d.contextOf(cmd.Org, cmd.Model, cmd.Version, prompt)
	began := time.Now()
	blocks, _, err := k.read(ctx, cmd.StoreAddress, c)
	msg.Lookup = time.Since(began)
	if err != nil {
		msg.Cause = storeCause(ctx, err)
		return
	}
	if len(blocks) == 0 {
		msg.Cause = cache.CauseAbsent
		return
	}
	msg.Named, began = len(blocks), time.Now()
	done, err := k.engines.Import(ctx, cmd.Address, engine.Import{
		Store: cmd.StoreAddress, CacheSalt: k.d.cacheSalt(cmd.Org), Model: cmd.Model, Version: cmd.Version,
		Prompt: prompt, Blocks: blocks, DeadlineMs: cmd.Deadline.Milliseconds(),
	})
	if err != nil {
		msg.Cause = engineCause(ctx)
		return
	}
	msg.Moved, msg.Bytes, msg.Took = done.Moved, done.Bytes, time.Since(began)
	msg.Cause = faultCause(done.Fault)
	if msg.Cause == cache.CauseGone {
		// The next export writes the context anew.
		k.discard(ctx, cmd.StoreAddress, []string{c.Name()})
	}
}

func (k *keeper) count(what string, at ident.UpstreamID, cause cache.Cause, bytes int64) {
	k.d.meter.Count("link_bytes_"+string(at), bytes)
	switch {
	case cause == "":
		k.d.meter.Count(what+"s", 1)
	case what == "import":
		k.d.meter.Count("recomputed_instead_"+string(cause), 1)
	default:
		k.d.meter.Count("exports_ended_"+string(cause), 1)
	}
}

func faultCause(f engine.Fault) cache.Cause {
	switch f {
	case "":
		return ""
	case engine.FaultFull:
		return cache.CauseFull
	case engine.FaultGone:
		return cache.CauseGone
	}
	return cache.CauseStore
}

func engineCause(ctx context.Context) cache.Cause {
	if ctx.Err() != nil {
		return cache.CauseTimeout
	}
	return cache.CauseEngine
}

func storeCause(ctx context.Context, err error) cache.Cause {
	switch {
	case errors.Is(err, store.ErrAbsent):
		return cache.CauseAbsent
	case errors.Is(err, store.ErrManifest):
		return cache.CauseGone
	case errors.Is(err, store.ErrFull):
		return cache.CauseFull
	case ctx.Err() != nil:
		return cache.CauseTimeout
	}
	return cache.CauseStore
}
