package entry

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadavalve/core/ident"
	"cicadavalve/core/roster"
)

const (
	readyPollInterval = 20 * time.Millisecond
	leavePollInterval = 50 * time.Millisecond
	maxMemberRequests = 16
	leaveTimeout      = time.Second
	// leaveFoldTimeout bounds the wait for the leave record to be folded, since the log may be down.
	leaveFoldTimeout = 5 * time.Second
	// adviceGrace covers the transit of the last advice to a caller and of that caller's request.
	adviceGrace = 200 * time.Millisecond
)

// joiner requests membership in the roster once the entry can serve.
type joiner struct {
	d *Daemon
}

func (j *joiner) run(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if j.d.canServe(ctx) {
			j.d.post(ctx, roster.WantMsg{Member: true})
			return nil
		}
	}
}

// canServe reports whether the configuration has been read and the upstreams have been probed.
func (d *Daemon) canServe(ctx context.Context) (can bool) {
	d.inspect(ctx, func() { can = d.node.Config().Current() && d.node.Sched().Settled() && !d.leaving })
	return can
}

// leave removes the entry from the roster and from every entry's advice, and then waits for as long
// as a caller may hold advice that names it.
func (d *Daemon) leave(ctx context.Context) {
	select {
	case <-d.aborted:
		return
	default:
	}
	d.inspect(ctx, func() {
		d.leaving = true
		d.update(ctx, d.clock.now(), roster.WantMsg{Member: false})
	})
	d.notifyMembers(ctx)
	d.log.Info("entry_leaves_advice", "hold", d.settings.AdviceHold)
	sleep(ctx, time.Duration(d.settings.AdviceHold)+adviceGrace)
}

// notifyMembers announces the leave to the other members until each has acknowledged it or is no longer a
// member. It also waits for the leave record to be folded, for up to leaveFoldTimeout: an entry that joins
// later then does not see this one as a member.
func (d *Daemon) notifyMembers(ctx context.Context) {
	notified := map[ident.BootID]bool{}
	foldCtx, cancel := context.WithTimeout(ctx, leaveFoldTimeout)
	defer cancel()
	for ctx.Err() == nil {
		waiting, left := d.unnotifiedMembers(ctx, notified)
		if len(waiting) == 0 && (left || foldCtx.Err() != nil) {
			return
		}
		d.notifyLeave(ctx, waiting, notified)
		sleep(ctx, leavePollInterval)
	}
}

// unnotifiedMembers returns the other members that have not acknowledged the leave; left is true once this
// entry is no longer a member.
func (d *Daemon) unnotifiedMembers(
	ctx context.Context, notified map[ident.BootID]bool,
) (others []roster.Member, left bool) {
	d.inspect(ctx, func() {
		left = !d.node.Members().IsMember()
		for _, m := range d.node.Roster().Members() {
			if m.Entry != d.self.Entry && !notified[m.Incarnation] {
				others = append(others, m)
			}
		}
	})
	return others, left
}

func (d *Daemon) notifyLeave(ctx context.Context, others []roster.Member, notified map[ident.BootID]bool) {
	self := d.identity(ctx)
	answered := make([]bool, len(others))
	var group errgroup.Group
	group.SetLimit(maxMemberRequests)
	for i, m := range others {
		group.Go(func() error {
			reqCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
			defer cancel()
			answered[i] = d.peers.clientFor(m).Leave(reqCtx, self) == nil
			return nil
		})
	}
	_ = group.Wait()
	for i, m := range others {
		notified[m.Incarnation] = answered[i]
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// drainHandler closes each connection after its next response while the daemon shuts down, so that
// callers don't send requests on connections that are about to be closed.
type drainHandler struct {
	d    *Daemon
	next http.Handler
}

// ServeHTTP implements [http.Handler].
func (h *drainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.d.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	h.next.ServeHTTP(w, r)
}
