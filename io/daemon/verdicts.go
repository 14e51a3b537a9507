package daemon

import (
	"context"
	"crypto/rand"
	"encoding/json"
	mathrand "math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/poison"
	"cicadavalve/io/clock"
	"cicadavalve/io/port"
)

const (
	// verdictTimeout bounds one attempt to load the verdicts, or to record one.
	verdictTimeout = 2 * time.Second
	// verdictRetryDelay is the delay after a failed attempt.
	verdictRetryDelay = 500 * time.Millisecond
	// maxWaitingVerdicts bounds the verdicts that wait for the store.
	maxWaitingVerdicts = 256
	// firstStartSpread is the time over which entries that all start for the first time look for the secret, so that few of them
	// choose one at the same moment.
	firstStartSpread = time.Second
	// secretSize is the size of the secret for digests, in bytes.
	secretSize = 32
)

// verdict is a quarantine to record in the store, or to remove from it if its body is empty. If suspect is set, it is
// what to remember of a request with several losses.
type verdict struct {
	digest  poison.Digest
	suspect bool
	body    json.RawMessage
}

// verdicts loads what entries must remember of crashing requests across restarts, with the secret for their digests, and
// records what is added to it.
type verdicts struct {
	d *Daemon
	// failing is set after a failed attempt, until one succeeds.
	failing bool
	faults  *faultLog
}

func newVerdicts(d *Daemon) *verdicts {
	return &verdicts{d: d, faults: newFaultLog(d.log, port.Verdicts)}
}

// run loads the verdicts and then records new ones until the context ends. When the store has come back from a copy, it
// loads them again.
func (v *verdicts) run(ctx context.Context) {
	restored := v.d.controller.whenRestored()
	if v.d.settings.FirstStart {
		pause(ctx, mathrand.N(firstStartSpread))
	}
	retryUntilDone(ctx, verdictRetryDelay, v.load)
	for {
		select {
		case <-ctx.Done():
			return
		case <-restored:
			retryUntilDone(ctx, verdictRetryDelay, v.load)
		case added := <-v.d.controller.verdicts:
			retryUntilDone(ctx, verdictRetryDelay, func(ctx context.Context) error { return v.record(ctx, added) })
		}
	}
}

// load reads the verdicts. The first entry of the fleet also chooses the secret; if the store has lost it, an entry
// records the one in use.
func (v *verdicts) load(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	defer func() {
		if err != nil && !v.failing {
			v.d.log.Warn("verdicts_not_loaded", "error", err)
		}
		v.failing = err != nil
	}()
	hasSecret, end, err := v.read(ctx)
	if err != nil || hasSecret {
		return err
	}
	secret := v.d.controller.currentSecret()
	if secret == nil {
		secret = make([]byte, secretSize)
		if _, err := rand.Read(secret); err != nil {
			return err
		}
	}
	err = v.d.store.ProposeSecret(ctx, end, secret)
	if errors.Is(err, port.ErrConflict) {
		// Another entry has just chosen the secret.
		hasSecret, _, err = v.read(ctx)
		if err == nil && !hasSecret {
			err = port.ErrConflict
		}
		return err
	}
	if err != nil {
		return err
	}
	v.d.controller.setSecret(secret)
	v.d.log.Info("verdicts_loaded", "count", 0)
	return nil
}

// read applies the verdicts in the store. It reports whether the secret is among them, and where the topic ends.
func (v *verdicts) read(ctx context.Context) (hasSecret bool, end int64, err error) {
	batch, err := v.d.store.Snapshot(ctx, port.Verdicts, slowCallTimeout)
	if err != nil {
		return false, 0, err
	}
	v.faults.report(batch.Faults)
	if hasSecret = v.d.controller.applyVerdicts(clock.Now(), batch.Events); hasSecret {
		v.d.log.Info("verdicts_loaded", "count", len(batch.Events)-1)
	}
	return hasSecret, batch.Next, nil
}

func (v *verdicts) record(ctx context.Context, added verdict) (err error) {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	write := v.d.store.RecordQuarantine
	if added.suspect {
		write = v.d.store.RecordSuspect
	}
	err = write(ctx, string(added.digest), added.body)
	if err != nil {
		if !v.failing {
			v.d.log.Warn("verdict_not_recorded", "digest", added.digest, "error", err)
		}
		v.failing = true
		return err
	}
	v.failing = false
	v.d.log.Info("verdict_recorded", "digest", added.digest, "suspect", added.suspect, "removed", added.body == nil)
	return nil
}

func (d *Controller) setSecret(secret []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.useSecret(secret)
	d.updateReadiness(clock.Now())
}

// useSecret makes digests depend on a secret; the lock is held.
func (d *Controller) useSecret(secret []byte) {
	d.secret = secret
	d.digester.Store(poison.NewDigester(secret))
}

// currentSecret returns the secret in use, nil if there is none.
func (d *Controller) currentSecret() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.secret
}

// applyVerdicts applies the records of the topic and reports whether the secret is among them. One that can't be read is not replaced:
// entries of another build use it.
func (d *Controller) applyVerdicts(now time.Time, events []any) (hasSecret bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, event := range events {
		switch e := event.(type) {
		case port.SecretEvent:
			hasSecret = true
			if len(e.Secret) > 0 {
				d.useSecret(e.Secret)
				d.updateReadiness(now)
			}
		case port.QuarantineEvent:
			d.applyQuarantine(now, e)
		}
	}
	// What is in quarantine is no suspect any more.
	for _, event := range events {
		if e, ok := event.(port.SuspectEvent); ok {
			d.applySuspect(now, e)
		}
	}
	// These are in the store already, so nothing of them is recorded again.
	d.poison.TakeEvents()
	d.confirmRecalled(now)
	d.handleEvidence(now)
	return hasSecret
}

// applySuspect applies what the store holds of a request with several losses, and removes what no longer counts. The lock
// is held.
func (d *Controller) applySuspect(now time.Time, e port.SuspectEvent) {
	counts, err := d.poison.Recall(now, e.Body)
	if err != nil {
		d.log.Warn("verdict_unreadable", "digest", e.Digest, "error", err)
		return
	}
	if !counts {
		d.recordVerdict(now, verdict{digest: poison.Digest(e.Digest), suspect: true})
	}
}

// confirmRecalled confirms the losses of upstreams that the list shows to have gone or restarted while no entry was there
// to see it; the lock is held.
func (d *Controller) confirmRecalled(now time.Time) {
	if !d.upstreamsListed {
		return
	}
	for _, loss := range d.poison.Unconfirmed(now) {
		if u, listed := d.fleet.Get(loss.Upstream); listed {
			d.poison.ObserveBoot(now, loss.Upstream, bootID(u.Born))
		} else {
			d.poison.Unreachable(now, loss.Upstream)
		}
	}
}

// applyQuarantine applies a quarantine of the store. The record of one that has ended while no entry ran is removed. The
// lock is held.
func (d *Controller) applyQuarantine(now time.Time, e port.QuarantineEvent) {
	digest := poison.Digest(e.Digest)
	if err := d.poison.Receive(now, poison.KindQuarantine, e.Body); err != nil {
		d.log.Warn("verdict_unreadable", "digest", digest, "error", err)
		return
	}
	if !d.poison.Quarantined(digest) {
		d.recordVerdict(now, verdict{digest: digest})
	}
}

// retryUntilDone calls step until it succeeds or the context ends, with a delay in between.
func retryUntilDone(ctx context.Context, delay time.Duration, step func(context.Context) error) {
	for ctx.Err() == nil {
		if step(ctx) == nil {
			return
		}
		pause(ctx, delay)
	}
}
