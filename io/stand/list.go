package stand

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
	"cicadavalve/io/store"
	"cicadavalve/io/vmlist"
)

// ListFaults are the faults of the VM list.
type ListFaults struct {
	Outage bool `json:"outage"`
	// Frozen keeps the list as it was.
	Frozen bool `json:"frozen"`
}

// List is a stand-in for the platform's list of VMs. It lags: a change shows after a delay,
// and a VM that stopped without a word shows until it expires.
type List struct {
	lag    time.Duration
	expire time.Duration
	faults box[ListFaults]

	mu    sync.Mutex
	vms   map[ident.UpstreamID]listedVM
	shown []sched.Upstream
	// history holds the list as it was, oldest first, for the lag.
	history []listedAt
}

type listedVM struct {
	upstream sched.Upstream
	last     time.Time
}

type listedAt struct {
	at  time.Time
	vms []sched.Upstream
}

// NewList is an empty list.
func NewList(lag, expire time.Duration) *List {
	return &List{lag: lag, expire: expire, vms: map[ident.UpstreamID]listedVM{}}
}

// Handler serves the list and its faults.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	l.faults.handle(mux)
	mux.HandleFunc("POST /vms", l.change(func(u sched.Upstream, now time.Time) {
		u.Leaving = u.Leaving || l.vms[u.ID].upstream.Leaving
		l.vms[u.ID] = listedVM{u, now}
	}))
	mux.HandleFunc("DELETE /vms", l.change(func(u sched.Upstream, _ time.Time) { delete(l.vms, u.ID) }))
	mux.HandleFunc("POST /leaving", l.change(func(u sched.Upstream, now time.Time) {
		vm := l.vms[u.ID]
		vm.upstream.Leaving, vm.last = u.Leaving, now
		l.vms[u.ID] = vm
	}))
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		if l.faults.get().Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		l.answer(w, r)
	})
	return mux
}

// answer sends the list unless the client has it already.
func (l *List) answer(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(vmlist.Reply{VMs: l.show(time.Now())})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := `"` + store.Checksum(body) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (l *List) change(apply func(u sched.Upstream, now time.Time)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var u sched.Upstream
		if !decode(w, r, &u) {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		apply(u, time.Now())
	}
}

func (l *List) show(now time.Time) []sched.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.get().Frozen {
		return l.shown
	}
	l.history = append(l.history, listedAt{now, l.current(now)})
	for len(l.history) > 0 && !l.history[0].at.After(now.Add(-l.lag)) {
		l.shown = l.history[0].vms
		l.history = l.history[1:]
	}
	return l.shown
}

func (l *List) current(now time.Time) (vms []sched.Upstream) {
	for id, vm := range l.vms {
		if now.Sub(vm.last) > l.expire {
			delete(l.vms, id)
			continue
		}
		vms = append(vms, vm.upstream)
	}
	slices.SortFunc(vms, func(a, b sched.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return vms
}
