package daemon

import (
	"context"
	"crypto/rand"
	"time"

	"cicadavalve/core/poison"
	"cicadavalve/io/port"
)

const (
	// verdictTimeout bounds one attempt to load the verdicts.
	verdictTimeout = 2 * time.Second
	// secretSize is the size of the secret for digests, in bytes.
	secretSize = 32
)

// verdicts loads what entries must remember of crashing requests across restarts, with the secret for their digests.
type verdicts struct{ d *Daemon }

// run retries until the verdicts have been loaded.
func (v *verdicts) run(ctx context.Context) { retryUntilDone(ctx, v.load) }

// load reads the verdicts. The first entry of the fleet also chooses the secret.
func (v *verdicts) load(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	defer func() {
		if err != nil {
			v.d.log.Warn("verdicts_not_loaded", "error", err)
		}
	}()
	batch, err := v.d.store.Snapshot(ctx, port.Verdicts)
	if err != nil {
		return err
	}
	if v.d.controller.applyVerdicts(batch.Events) {
		v.d.log.Info("verdicts_loaded", "count", len(batch.Events)-1)
		return nil
	}
	secret := make([]byte, secretSize)
	if _, err := rand.Read(secret); err != nil {
		return err
	}
	if err := v.d.store.ProposeSecret(ctx, batch.Next, secret); err != nil {
		return err
	}
	v.d.controller.digester.Store(poison.NewDigester(secret))
	v.d.log.Info("verdicts_loaded", "count", 0)
	return nil
}

// applyVerdicts applies the records of the topic and reports whether the secret is among them.
func (d *Controller) applyVerdicts(events []any) (hasSecret bool) {
	for _, event := range events {
		if e, ok := event.(port.SecretEvent); ok {
			d.digester.Store(poison.NewDigester(e.Secret))
			hasSecret = true
		}
	}
	return hasSecret
}

// Digester implements [relay.Controller].
func (d *Controller) Digester() *poison.Digester { return d.digester.Load() }

// retryUntilDone calls step until it succeeds or the context ends, with [retryDelay] in between.
func retryUntilDone(ctx context.Context, step func(context.Context) error) {
	for ctx.Err() == nil {
		if step(ctx) == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}
