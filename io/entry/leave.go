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
	readyPoll  = 20 * time.Millisecond
	leavePoll  = 50 * time.Millisecond
	leaveAsks  = 16
	leaveLimit = time.Second
	// foldLimit bounds the wait for the log, which may be down.
	foldLimit = 5 * time.Second
	// adviceGrace covers the way of an answer to a caller, and of the caller's last request.
	adviceGrace = 200 * time.Millisecond
)

// joiner makes the entry a member once it can serve.
type joiner struct {
	d *Daemon
}

func (j *joiner) run(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
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

// leave takes the entry out of the roster and out of every entry's advice, and then serves
// on for as long as a caller may keep an answer that names it.
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
	d.tellAll(ctx)
	d.log.Info("entry_leaves_advice", "hold", d.settings.AdviceHold)
	pauseFor(ctx, time.Duration(d.settings.AdviceHold)+adviceGrace)
}

// tellAll tells every other member, until each has answered or is no member any more, and until
// the leave is folded: an entry that joins after it does not learn of this one as a member.
func (d *Daemon) tellAll(ctx context.Context) {
	told := map[ident.BootID]bool{}
	folding, cancel := context.WithTimeout(ctx, foldLimit)
	defer cancel()
	for ctx.Err() == nil {
		waiting, left := d.others(ctx, told)
		if len(waiting) == 0 && (left || folding.Err() != nil) {
			return
		}
		d.tell(ctx, waiting, told)
		pauseFor(ctx, leavePoll)
	}
}

// others lists the members that are not told yet; left is true once this entry is no member.
func (d *Daemon) others(ctx context.Context, told map[ident.BootID]bool) (others []roster.Member, left bool) {
	d.inspect(ctx, func() {
		left = !d.node.Members().IsMember()
		for _, m := range d.node.Roster().Members() {
			if m.Entry != d.self.Entry && !told[m.Incarnation] {
				others = append(others, m)
			}
		}
	})
	return others, left
}

func (d *Daemon) tell(ctx context.Context, others []roster.Member, told map[ident.BootID]bool) {
	self := d.identity(ctx)
	answered := make([]bool, len(others))
	var group errgroup.Group
	group.SetLimit(leaveAsks)
	for i, m := range others {
		group.Go(func() error {
			asking, cancel := context.WithTimeout(ctx, leaveLimit)
			defer cancel()
			answered[i] = d.peers.at(m).Leave(asking, self) == nil
			return nil
		})
	}
	_ = group.Wait()
	for i, m := range others {
		told[m.Incarnation] = answered[i]
	}
}

func pauseFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// farewell ends each connection after its next answer while the entry leaves, so that no
// caller's request meets a connection that is being closed.
type farewell struct {
	d    *Daemon
	next http.Handler
}

// ServeHTTP implements [http.Handler].
func (f *farewell) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.d.farewell.Load() {
		w.Header().Set("Connection", "close")
	}
	f.next.ServeHTTP(w, r)
}
