package daemon

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/poison"
	"cicadavalve/core/reach"
	"cicadavalve/io/clock"
	"cicadavalve/io/port"
)

const (
	// inspectInterval is the interval at which upstreams with undecided losses are asked.
	inspectInterval = 250 * time.Millisecond
	// inspectTimeout bounds one question.
	inspectTimeout = 500 * time.Millisecond
	// maxInspected bounds the upstreams that are asked in one interval.
	maxInspected = 8
)

// inspector asks upstreams whether they have restarted, where the quarantine of a request depends on it: the list of
// upstreams shows it seconds later, and not at all while the store is down.
type inspector struct{ d *Daemon }

// run asks at each interval until the context ends.
func (i *inspector) run(ctx context.Context) {
	ticker := time.NewTicker(inspectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, q := range i.d.controller.questions(clock.Now()) {
			i.ask(ctx, q)
		}
	}
}

// question is an undecided loss and where to ask about it.
type question struct {
	loss poison.Loss
	addr string
}

// questions returns the undecided losses of listed upstreams that don't ask to back off, one for each upstream and at most
// maxInspected.
func (d *Controller) questions(now time.Time) (questions []question) {
	if !d.hasEvidence.Load() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[string]bool{}
	for _, loss := range d.poison.Undecided(now) {
		u, listed := d.fleet.Get(loss.Upstream)
		if listed && !seen[u.Address] && !d.fleet.BackingOff(now, u.ID) && len(questions) < maxInspected {
			seen[u.Address] = true
			questions = append(questions, question{loss, u.Address})
		}
	}
	return questions
}

// ask asks an upstream for its incarnation. Only an answer, or the refusal of a connection, decides.
func (i *inspector) ask(ctx context.Context, q question) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	asked := clock.Now()
	state, err := i.d.engines.State(ctx, q.loss.Upstream, q.addr)
	if err != nil && !errors.Is(err, port.ErrMisdirected) && !errors.Is(err, syscall.ECONNREFUSED) {
		i.d.controller.observeCallError(clock.Now(), q.addr, err)
		i.d.log.Debug("upstream_not_inspected", "upstream", q.loss.Upstream, "error", err)
		return
	}
	i.d.controller.applyInspection(asked, q.loss, state, errors.Is(err, port.ErrMisdirected), errors.Is(err, syscall.ECONNREFUSED))
}

// applyInspection applies what an upstream that was asked at a time said of its incarnation; moved is set if another one
// answered, and refused if none accepted the connection.
func (d *Controller) applyInspection(asked time.Time, loss poison.Loss, state port.State, moved, refused bool) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	boot := bootID(state.Born)
	switch {
	case refused:
		d.perform(d.reach.Update(now, reach.FailedMsg{ID: loss.Upstream, At: asked}))
		d.observeRefusal(now, loss.Upstream)
	case moved:
		d.poison.Unreachable(now, loss.Upstream)
	case state.Born == 0:
		return
	case boot != loss.Boot:
		d.poison.ObserveBoot(now, loss.Upstream, boot)
	default:
		d.poison.Refute(asked, loss.Upstream, boot)
		d.log.Info("loss_refuted", "upstream", loss.Upstream, "born", strconv.FormatInt(state.Born, 10))
	}
	d.handleEvidence(now)
}
