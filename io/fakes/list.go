package fakes

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

// ListFaults are the faults that the VM list injects.
type ListFaults struct {
	Outage bool `json:"outage"`
	// Frozen keeps returning the list as last shown.
	Frozen bool `json:"frozen"`
}

// List is a stand-in for the platform's list of VMs. Changes become visible after a lag, and a VM that stops without
// deregistering stays listed until its registration expires.
type List struct {
	lag    time.Duration
	ttl    time.Duration
	faults guarded[ListFaults]

	mu      sync.Mutex
	vms     map[ident.UpstreamID]listedVM
	visible []sched.Upstream
	// history holds samples of the list, oldest first, that the lag still hides.
	history []listSample
}

type listedVM struct {
	upstream     sched.Upstream
	registeredAt time.Time
}

type listSample struct {
	at  time.Time
	vms []sched.Upstream
}

// NewList returns an empty list. Changes become visible after lag; a registration expires after ttl.
func NewList(lag, ttl time.Duration) *List {
	return &List{lag: lag, ttl: ttl, vms: map[ident.UpstreamID]listedVM{}}
}

// Handler serves the list and fault injection.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	l.faults.serveFaults(mux)
	mux.HandleFunc("POST /vms", l.handleChange(func(u sched.Upstream, now time.Time) {
		u.Leaving = u.Leaving || l.vms[u.ID].upstream.Leaving
		l.vms[u.ID] = listedVM{u, now}
	}))
	mux.HandleFunc("DELETE /vms", l.handleChange(func(u sched.Upstream, _ time.Time) { delete(l.vms, u.ID) }))
	mux.HandleFunc("POST /leaving", l.handleChange(func(u sched.Upstream, now time.Time) {
		vm := l.vms[u.ID]
		vm.upstream.Leaving, vm.registeredAt = u.Leaving, now
		l.vms[u.ID] = vm
	}))
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		if l.faults.get().Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		l.writeList(w, r)
	})
	return mux
}

// writeList sends the list, or 304 if the client's ETag shows that it has the current one.
func (l *List) writeList(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(vmlist.Reply{VMs: l.laggedList(time.Now())})
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

func (l *List) handleChange(apply func(u sched.Upstream, now time.Time)) http.HandlerFunc {
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

// laggedList records the current list and returns the list as of lag ago.
func (l *List) laggedList(now time.Time) []sched.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.get().Frozen {
		return l.visible
	}
	l.history = append(l.history, listSample{now, l.current(now)})
	for len(l.history) > 0 && !l.history[0].at.After(now.Add(-l.lag)) {
		l.visible = l.history[0].vms
		l.history = l.history[1:]
	}
	return l.visible
}

func (l *List) current(now time.Time) (vms []sched.Upstream) {
	for id, vm := range l.vms {
		if now.Sub(vm.registeredAt) > l.ttl {
			delete(l.vms, id)
			continue
		}
		vms = append(vms, vm.upstream)
	}
	slices.SortFunc(vms, func(a, b sched.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return vms
}
