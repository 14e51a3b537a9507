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
	// exportWorkers is the maximum number of concurrent exports over all stores.
	exportWorkers   = 4
	exportQueueSize = 64
	// reportTimeout bounds the posting of an import's outcome to the loop.
	reportTimeout = time.Second
	// discardTimeout bounds the deletion of blocks or a manifest from a store.
	discardTimeout = time.Second
)

// cacheTransfer copies cached context between engines and KV stores on the state machines' commands.
type cacheTransfer struct {
	d       *Daemon
	engines engine.Transfers
	stores  store.Store
	exports queue[cache.ExportCmd]

	prompts *heldPrompts
}

func newCacheTransfer(d *Daemon, stores store.Store) *cacheTransfer {
	return &cacheTransfer{
		d: d, engines: d.engines, stores: stores, prompts: newHeldPrompts(),
		exports: newQueue[cache.ExportCmd](exportQueueSize),
	}
}

func cacheLimits(s config.Settings) cache.Limits {
	return cache.Limits{
		Off: !s.UseStores, ImportDeadline: time.Duration(s.ImportDeadline), ExportDeadline: time.Duration(s.ExportDeadline),
		LinkTransfers: s.LinkTransfers, LinkRate: s.LinkRate, MinTokens: s.StoreMinTokens, MaxQueued: s.ExportQueue,
		HeldTTL: time.Duration(s.HeldTTL),
	}
}

// performCache executes the commands of the cache state machine. It reports false for any other command.
func (d *Daemon) performCache(cmd ident.Cmd) (done bool) {
	switch cmd := cmd.(type) {
	case cache.ImportCmd:
		d.sessions.deliver(cmd.Request, cmd)
	case cache.RecomputeCmd:
		d.meter.Count("recomputed_instead_"+string(cmd.Cause), 1)
	case cache.DropCmd:
		d.cacheTransfer.prompts.take(cmd.Request)
		d.meter.Count("exports_dropped_"+string(cmd.Cause), 1)
	case cache.ExportCmd:
		if !d.cacheTransfer.exports.offer(cmd) {
			d.log.Error("export_queue_full", "store", cmd.Store)
			d.cacheTransfer.prompts.take(cmd.Request)
		}
	default:
		return false
	}
	return true
}

// holdPrompt holds a prompt for a possible export, if stores are in use.
func (t *cacheTransfer) holdPrompt(id ident.RequestID, prompt string) {
	if t.d.settings.UseStores {
		t.prompts.hold(time.Now(), id, prompt)
	}
}

// storeContext returns the store's description of the cached context of an organisation's prompt.
func (d *Daemon) storeContext(
	org ident.OrgID, model ident.ModelName, version ident.Version, prompt string,
) *store.Context {
	h := d.mac("kept context")
	_, _ = h.Write([]byte(org))
	return store.NewContext(h.Sum(nil), model, version, prompt, blockBytes)
}

func (t *cacheTransfer) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range exportWorkers {
		w := &exportWorker{t}
		group.Go(func() error { return w.run(ctx) })
	}
	return group.Wait()
}

// exportWorker executes exports one at a time.
type exportWorker struct{ transfer *cacheTransfer }

func (w *exportWorker) run(ctx context.Context) error {
	return w.transfer.exports.run(ctx, w.transfer.export)
}

func (t *cacheTransfer) export(ctx context.Context, cmd cache.ExportCmd) {
	msg := cache.ExportedMsg{Request: cmd.Request, Store: cmd.Store, Cause: cache.CauseLate}
	if prompt, held := t.prompts.take(cmd.Request); held {
		exportCtx, cancel := context.WithTimeout(ctx, cmd.Deadline)
		t.exportPrompt(exportCtx, cmd, prompt, &msg)
		cancel()
	}
	t.d.post(ctx, msg)
	t.countTransfer("export", cmd.Store, msg.Cause, msg.Bytes)
}

// exportPrompt exports the blocks of a context that the store lacks, and then writes the manifest.
func (t *cacheTransfer) exportPrompt(ctx context.Context, cmd cache.ExportCmd, prompt string, msg *cache.ExportedMsg) {
	c := t.d.storeContext(cmd.Org, cmd.Model, cmd.Version, prompt)
	stored, total, err := t.readManifest(ctx, cmd.StoreAddress, c)
	if err != nil && !errors.Is(err, store.ErrAbsent) && !errors.Is(err, store.ErrManifest) {
		msg.Cause = storeCause(ctx, err)
		return
	}
	// The store keeps only the longest of the prompts that share their first block.
	if len(stored) == c.Blocks() || total >= c.Blocks() {
		msg.Cause, msg.Stored = cache.CauseStored, len(stored)
		return
	}
	names := make([]string, c.Blocks()-len(stored))
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", cmd.Generation, i)
	}
	done, err := t.exportBlocks(ctx, cmd, prompt, len(stored), names, msg)
	if err != nil {
		msg.Cause = engineCause(ctx)
	}
	t.discard(ctx, cmd.StoreAddress, names[len(done):])
	if len(done) == 0 || len(stored)+len(done) < total {
		t.discard(ctx, cmd.StoreAddress, names[:len(done)])
		return
	}
	t.commit(ctx, cmd, c, append(stored, done...), names[:len(done)], msg)
}

// exportBlocks has the engine export blocks under the given names, and records the transfer in msg.
// It returns the exported blocks, which may be fewer than the names.
func (t *cacheTransfer) exportBlocks(
	ctx context.Context, cmd cache.ExportCmd, prompt string, from int, names []string, msg *cache.ExportedMsg,
) (blocks []engine.Block, err error) {
	started := time.Now()
	done, err := t.engines.Export(ctx, cmd.Address, engine.Export{
		Store: cmd.StoreAddress, CacheSalt: t.d.cacheSalt(cmd.Org), Model: cmd.Model, Version: cmd.Version,
		Prompt: prompt, From: from, Names: names, DeadlineMs: cmd.Deadline.Milliseconds(),
	})
	if err != nil {
		return nil, err
	}
	msg.Moved, msg.Bytes, msg.Took = len(done.Blocks), done.Bytes, time.Since(started)
	msg.Cause = faultCause(done.Fault)
	if msg.Cause == "" && len(done.Blocks) < len(names) {
		msg.Cause = cache.CauseLate
	}
	return done.Blocks, nil
}

// commit writes the manifest and deletes the named blocks if that fails. If the outcome is uncertain, the manifest
// may be committed and refer to the blocks, which then stay until the store evicts them.
func (t *cacheTransfer) commit(
	ctx context.Context, cmd cache.ExportCmd, c *store.Context, blocks []engine.Block, names []string,
	msg *cache.ExportedMsg,
) {
	raw, err := c.Seal(blocks)
	if err == nil {
		err = t.stores.Put(ctx, cmd.StoreAddress, c.Name(), raw)
	}
	if err == nil {
		msg.Stored = len(blocks)
		return
	}
	msg.Cause = storeCause(ctx, err)
	if !errors.Is(err, store.ErrUncertain) {
		t.discard(ctx, cmd.StoreAddress, names)
	}
}

// discard deletes from a store blocks that no manifest will reference, or a stale manifest. It stops at the first
// failure: the store evicts the rest in time.
func (t *cacheTransfer) discard(ctx context.Context, address string, names []string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
	defer cancel()
	for _, name := range names {
		if t.stores.Delete(ctx, address, name) != nil {
			return
		}
	}
}

// readManifest returns the leading blocks of a context that are in its manifest; total is the number of
// blocks in the manifest.
func (t *cacheTransfer) readManifest(
	ctx context.Context, address string, c *store.Context,
) (blocks []engine.Block, total int, err error) {
	if c.Blocks() == 0 {
		return nil, 0, store.ErrAbsent
	}
	raw, err := t.stores.Get(ctx, address, c.Name())
	if err != nil {
		return nil, 0, err
	}
	return c.Open(raw)
}

// importContext imports an attempt's context before the attempt is sent. It returns by the command's deadline, plus
// up to reportTimeout if the loop does not take the outcome.
func (c *completion) importContext(ctx context.Context, cmd cache.ImportCmd) {
	msg := cache.ImportedMsg{Request: cmd.Request, Attempt: cmd.Attempt, Store: cmd.Store}
	importCtx, cancel := context.WithTimeout(ctx, cmd.Deadline)
	c.d.cacheTransfer.importBlocks(importCtx, cmd, c.req.Prompt, &msg)
	cancel()
	if ctx.Err() != nil {
		msg.Cause = cache.CauseCancelled
	}
	reportCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	c.d.post(reportCtx, msg)
	c.d.cacheTransfer.countTransfer("import", cmd.Store, msg.Cause, msg.Bytes)
}

func (t *cacheTransfer) importBlocks(ctx context.Context, cmd cache.ImportCmd, prompt string, msg *cache.ImportedMsg) {
	c := t.d.storeContext(cmd.Org, cmd.Model, cmd.Version, prompt)
	started := time.Now()
	blocks, _, err := t.readManifest(ctx, cmd.StoreAddress, c)
	msg.Lookup = time.Since(started)
	if err != nil {
		msg.Cause = storeCause(ctx, err)
		return
	}
	if len(blocks) == 0 {
		msg.Cause = cache.CauseAbsent
		return
	}
	msg.Named, started = len(blocks), time.Now()
	done, err := t.engines.Import(ctx, cmd.Address, engine.Import{
		Store: cmd.StoreAddress, CacheSalt: t.d.cacheSalt(cmd.Org), Model: cmd.Model, Version: cmd.Version,
		Prompt: prompt, Blocks: blocks, DeadlineMs: cmd.Deadline.Milliseconds(),
	})
	if err != nil {
		msg.Cause = engineCause(ctx)
		return
	}
	msg.Moved, msg.Bytes, msg.Took = done.Moved, done.Bytes, time.Since(started)
	msg.Cause = faultCause(done.Fault)
	if msg.Cause == cache.CauseGone {
		// Deletes the manifest, so that the next export stores the context anew.
		t.discard(ctx, cmd.StoreAddress, []string{c.Name()})
	}
}

func (t *cacheTransfer) countTransfer(kind string, storeID ident.UpstreamID, cause cache.Cause, bytes int64) {
	t.d.meter.Count("link_bytes_"+string(storeID), bytes)
	switch {
	case cause == "":
		t.d.meter.Count(kind+"s", 1)
	case kind == "import":
		t.d.meter.Count("recomputed_instead_"+string(cause), 1)
	default:
		t.d.meter.Count("exports_ended_"+string(cause), 1)
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
