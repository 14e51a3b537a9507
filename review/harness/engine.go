package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// order is the body of an order to an engine.
type order struct {
	Op           string `json:"op"`
	Model        string `json:"model"`
	Version      int64  `json:"version"`
	Holder       string `json:"holder"`
	FencingToken int64  `json:"fencing_token"`
	Precondition *int64 `json:"precondition"`
}

// engine stands in for a model engine with one model.
type engine struct {
	id, addr, service, zone string
	model                   string
	slots                   int
	warm                    time.Duration
	born                    int64
	rec                     *record
	store                   *store
	mu                      sync.Mutex
	version, next           int64
	busyUntil               time.Time
	seq, fence              int64
	running                 int
	beats                   int
	// changes are the events of cached parts, held the parts. Nothing is dropped: the memory is larger than what the cases use.
	changes, held []any
	// serve answers a request that is admitted.
	serve http.HandlerFunc
}

func newEngine(rec *record, st *store, host, id, service, zone, model string) (e *engine, err error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	e = &engine{
		id: id, addr: l.Addr().String(), service: service, zone: zone, model: model, slots: 64, warm: 760 * time.Millisecond, born: time.Now().UnixMilli(),
		rec: rec, store: st, version: 1,
	}
	go func() { _ = (&http.Server{Handler: e}).Serve(l) }()
	go e.beat()
	return e, nil
}

// settle ends a load whose time is over; the lock is held.
func (e *engine) settle() {
	if e.next != 0 && !time.Now().Before(e.busyUntil) {
		e.version, e.next = e.next, 0
	}
}

// beat registers the engine at every heartbeat.
func (e *engine) beat() {
	for {
		e.mu.Lock()
		e.settle()
		models := []any{}
		if e.model != "" {
			models = append(models, map[string]any{"name": e.model, "version": e.version, "adapters": []any{}})
		}
		e.beats++
		value := map[string]any{
			"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "cold_left_ms": 0,
			"stage": "colocated", "models": models, "seq": e.beats, "born": e.born,
		}
		e.mu.Unlock()
		e.store.put("keyed.servers", e.id, value)
		time.Sleep(beatMS * time.Millisecond)
	}
}

// beatMS is the interval at which engines register, in ms.
const beatMS = 1200

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
	case "/cicadavalve/report":
		e.report(w)
	case "/cicadavalve/order":
		e.order(w, r)
	case "/cicadavalve/kv-events":
		e.events(w, r)
	case "/cicadavalve/kv-list":
		e.mu.Lock()
		held := append([]any{}, e.held...)
		next := len(e.changes)
		e.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"boot_epoch": e.born, "born": e.born, "next_token": next, "held": held})
	default:
		e.request(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	models := []any{}
	if e.model != "" {
		models = append(models, map[string]any{"name": e.model, "version": e.version, "adapters": []any{}})
	}
	reply(w, http.StatusOK, map[string]any{
		"stage": "colocated", "models": models, "busy": e.next != 0, "seq": e.seq, "queued": 0, "running": e.running, "kv_used": 0, "kv_total": 144358,
		"handles": 0, "state": "ready", "boot_epoch": e.born, "born": e.born, "clock_ms": float64(time.Now().UnixMicro()) / 1000,
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var o order
	status := http.StatusAccepted
	if err := json.Unmarshal(body, &o); err != nil || o.Op != "version" || o.Holder == "" || o.FencingToken == 0 || o.Model != e.model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.settle()
	switch {
	case o.FencingToken < e.fence:
		status = http.StatusPreconditionFailed
	case e.next != 0, o.Precondition != nil && *o.Precondition != e.seq:
		e.fence = o.FencingToken
		status = http.StatusConflict
	case e.version == o.Version:
		e.fence = o.FencingToken
		status = http.StatusOK
	default:
		e.fence = o.FencingToken
		e.seq++
		e.next, e.busyUntil = o.Version, time.Now().Add(e.warm)
	}
	e.rec.add("engine %s: order of %s, token %d, version %d: answered %d", e.id, o.Holder, o.FencingToken, o.Version, status)
	e.mu.Unlock()
	w.WriteHeader(status)
}

// request runs a request of a client.
func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	if e.serve == nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.settle()
	version := strconv.FormatInt(e.version, 10)
	if want := r.Header.Get("Expect-Version"); want != "" && want != version {
		e.mu.Unlock()
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.running++
	e.mu.Unlock()
	w.Header().Set("Weight-Versions", version)
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s", e.id, r.Header.Get("Request-Id")))
	e.serve(w, r)
}

// events answers with the changes of the cached parts since a number, as soon as there are any.
func (e *engine) events(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		e.mu.Lock()
		next := len(e.changes)
		changes := append([]any{}, e.changes[min(since, next):]...)
		e.mu.Unlock()
		if len(changes) > 0 || !time.Now().Before(until) {
			reply(w, http.StatusOK, map[string]any{
				"boot_epoch": e.born, "born": e.born, "next_token": next, "lost": false, "events": changes, "clock_ms": float64(time.Now().UnixMicro()) / 1000,
			})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// cached records that the engine has cached a part.
func (e *engine) cached(salt, id string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changes = append(e.changes, []any{len(e.changes) + 1, "+", salt, id, tokens, e.model})
	e.held = append(e.held, []any{salt, id, tokens, e.model})
}
