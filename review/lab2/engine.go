package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the sheet of kf-graz.
const (
	tokenBytes      = 327680
	engineLink      = 740e9
	storeLink       = 2200e9
	storeFirst      = 500 * time.Microsecond
	prefillPerMS    = 85.2
	loadTime        = 210 * time.Millisecond
	heartbeat       = 1200 * time.Millisecond
	entryTTL        = 3 * heartbeat
	slots           = 64
	engineCapacity  = 107588
	storeCapacity   = 1111436
	coldTime        = 3 * time.Second
	maxTransferWait = 2 * time.Second
	eventsLag       = 80 * time.Millisecond
	model           = "m0"
	engineService   = "lm"
)

type partKey struct{ salt, id string }

// part is a kept part and the version of the weights under which it was made.
type part struct{ tokens, made int }

// holder keeps parts: an engine, or a store of kept context.
type holder struct {
	mu    sync.Mutex
	addr  string
	zone  string
	boot  int64
	parts map[partKey]part
	// partial are the parts that are being written.
	partial map[partKey]int
	events  []change
	// readers are the fetches under way, by part.
	readers map[partKey]map[*fetch]bool
}

type change struct {
	at    time.Time
	entry []any
}

// fetch is one transfer of a part to an engine.
type fetch struct{ freed bool }

func newHolder(addr, zone string) *holder {
	return &holder{addr: addr, zone: zone, boot: time.Now().UnixNano(), parts: map[partKey]part{}, partial: map[partKey]int{}, readers: map[partKey]map[*fetch]bool{}}
}

func (h *holder) note(sign string, k partKey, tokens int) {
	h.events = append(h.events, change{time.Now().Add(eventsLag), []any{len(h.events) + 1, sign, k.salt, k.id, tokens, model}})
}

func (h *holder) set(k partKey, p part) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.partial, k)
	if _, has := h.parts[k]; has {
		return
	}
	h.parts[k] = p
	h.note("+", k, p.tokens)
}

func (h *holder) get(k partKey) (p part, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok = h.parts[k]
	return p, ok
}

// begin starts a fetch of a part; ok is false if the part is not there.
func (h *holder) begin(k partKey) (p part, f *fetch, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, ok = h.parts[k]; !ok {
		return p, nil, false
	}
	f = &fetch{}
	if h.readers[k] == nil {
		h.readers[k] = map[*fetch]bool{}
	}
	h.readers[k][f] = true
	return p, f, true
}

// end ends a fetch and reports whether the part was freed meanwhile.
func (h *holder) end(k partKey, f *fetch) (freed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.readers[k], f)
	return f.freed
}

// reserve reserves the space of a part that is to be written.
func (h *holder) reserve(k partKey, tokens int) (ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, has := h.parts[k]
	_, writing := h.partial[k]
	if has || writing {
		return false
	}
	h.partial[k] = tokens
	return true
}

func clockMS() int64 { return time.Since(started).Milliseconds() + 1_000_000 }

func (h *holder) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	until := time.Now().Add(time.Duration(min(wait, 1000)) * time.Millisecond)
	for {
		h.mu.Lock()
		next := min(max(since, 0), len(h.events))
		list := []any{}
		for _, c := range h.events[next:] {
			if c.at.After(time.Now()) {
				break
			}
			list = append(list, c.entry)
			next++
		}
		boot := h.boot
		h.mu.Unlock()
		if len(list) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			writeJSON(w, 200, map[string]any{"boot_epoch": boot, "next_token": next, "lost": false, "events": list, "clock_ms": clockMS()})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (h *holder) serveList(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, partial := []any{}, []any{}
	for k, p := range h.parts {
		held = append(held, []any{k.salt, k.id, p.tokens, model})
	}
	for k, tokens := range h.partial {
		partial = append(partial, []any{k.salt, k.id, 0, tokens})
	}
	writeJSON(w, 200, map[string]any{"boot_epoch": h.boot, "next_token": len(h.events), "held": held, "partial": partial, "clock_ms": clockMS()})
}

func (h *holder) serveFree(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Parts [][2]string `json:"parts"`
		Boot  *int64      `json:"boot_epoch"`
		Until *int64      `json:"until_ms"`
	}
	raw, _ := io.ReadAll(r.Body)
	if json.Unmarshal(raw, &body) != nil {
		w.WriteHeader(400)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if body.Boot != nil && *body.Boot != h.boot || body.Until != nil && *body.Until < clockMS() {
		w.WriteHeader(409)
		return
	}
	for _, p := range body.Parts {
		k := partKey{p[0], p[1]}
		for f := range h.readers[k] {
			f.freed = true
		}
		if _, ok := h.parts[k]; ok {
			delete(h.parts, k)
			h.note("-", k, 0)
		}
		delete(h.partial, k)
	}
	note("freed   %d parts at the store, asked for by %s", len(body.Parts), r.RemoteAddr)
	writeJSON(w, 200, map[string]any{})
}

// keptStore is a managed store of kept context.
type keptStore struct {
	*holder
	link sync.Mutex
}

func newKeptStore(host, zone string) *keptStore {
	l := listen(host, 0)
	s := &keptStore{holder: newHolder(l.Addr().String(), zone)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cicadavalve/kv-events", s.serveEvents)
	mux.HandleFunc("GET /cicadavalve/kv-list", s.serveList)
	mux.HandleFunc("POST /cicadavalve/kv-free", s.serveFree)
	mux.HandleFunc("GET /cicadavalve/report", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, 200, map[string]any{"kv_used": 0, "kv_total": storeCapacity, "boot_epoch": s.boot, "clock_ms": clockMS()})
	})
	go func() { _ = http.Serve(l, mux) }()
	holders.Store(s.addr, s.holder)
	return s
}

// holders maps addresses to holders.
var holders sync.Map

// engine is a model engine.
type engine struct {
	*holder
	site   *site
	host   string
	port   int
	id     string
	born   int64
	server *http.Server
	// busyUntil is until when an order is carried out.
	version, orders int
	busyUntil       time.Time
	running         int
	coldUntil       time.Time
	fence           int64
	link, prefill   sync.Mutex
	stop            context.CancelFunc
	seq             int
}

func (e *engine) start(cold bool) {
	l := listen(e.host, e.port)
	e.holder = newHolder(l.Addr().String(), e.zone())
	_, e.port = splitPort(e.addr)
	e.id, e.born, e.orders, e.fence, e.running = fmt.Sprintf("i-%08x", random()), time.Now().UnixMilli(), 0, 0, 0
	if cold {
		e.coldUntil = time.Now().Add(coldTime)
	}
	holders.Store(e.addr, e.holder)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cicadavalve/kv-events", e.serveEvents)
	mux.HandleFunc("GET /cicadavalve/kv-list", e.serveList)
	mux.HandleFunc("GET /cicadavalve/report", e.serveReport)
	mux.HandleFunc("POST /cicadavalve/order", e.serveOrder)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go e.register(ctx, e.id)
	note("engine  %s starts with weights %d", e.id, e.version)
}

func (e *engine) zone() string { return "zone-" + strconv.Itoa(1+int(e.host[len(e.host)-1])%3) }

// record returns what the engine writes of itself.
func (e *engine) record() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	return map[string]any{
		"service": engineService, "address": e.addr, "zone": e.holder.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_left_ms": max(time.Until(e.coldUntil).Milliseconds(), 0), "stage": "colocated",
		"models": []any{map[string]any{"name": model, "version": e.version, "adapters": []any{}}}, "seq": e.seq, "born": e.born,
	}
}

func (e *engine) register(ctx context.Context, id string) {
	for {
		e.site.store.put("keyed.servers", id, e.record())
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the engine without a word; its entry is removed after three heartbeats.
func (e *engine) crash() {
	e.stop()
	_ = e.server.Close()
	id := e.id
	note("crash   %s", id)
	time.AfterFunc(entryTTL, func() { e.site.store.put("keyed.servers", id, nil) })
}

func (e *engine) misdirected(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		e.refuse(w, r, http.StatusMisdirectedRequest)
		return true
	}
	return false
}

func (e *engine) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Instance-Id", e.id)
	w.WriteHeader(status)
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, 200, map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": model, "version": e.version, "adapters": []any{}}},
		"busy": time.Now().Before(e.busyUntil), "seq": e.orders, "queued": 0, "running": e.running, "kv_used": 0, "kv_total": engineCapacity,
		"handles": 0, "boot_epoch": e.boot, "born": e.born, "clock_ms": clockMS(),
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	var o struct {
		Op, Model, Holder string
		Version           int
		Swap              string `json:"swap_mode"`
		Token             int64  `json:"fencing_token"`
		Seq               *int   `json:"precondition"`
	}
	raw, _ := io.ReadAll(r.Body)
	if json.Unmarshal(raw, &o) != nil || o.Holder == "" || o.Op != "version" {
		w.WriteHeader(400)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Token < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case o.Version == e.version:
		w.WriteHeader(200)
		return
	case time.Now().Before(e.busyUntil), o.Seq != nil && *o.Seq != e.orders:
		w.WriteHeader(409)
		return
	}
	e.fence = o.Token
	e.orders++
	e.busyUntil = time.Now().Add(loadTime)
	note("order   %s loads weights %d (%s), from %s", e.id, o.Version, o.Swap, o.Holder)
	h := e.holder
	time.AfterFunc(loadTime, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		e.version = o.Version
		for k := range h.parts {
			h.note("-", k, 0)
		}
		h.parts = map[partKey]part{}
	})
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) weights() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// admit returns the version of the weights on which a request begins, or answers it.
func (e *engine) admit(w http.ResponseWriter, r *http.Request) (version int, ok bool) {
	e.mu.Lock()
	version, busy, full := e.version, time.Now().Before(e.busyUntil), e.running >= slots
	if want := r.Header.Get("Expect-Version"); want != "" && want != strconv.Itoa(version) {
		e.mu.Unlock()
		e.refuse(w, r, http.StatusMisdirectedRequest)
		return 0, false
	}
	if busy || full {
		e.mu.Unlock()
		e.refuse(w, r, http.StatusServiceUnavailable)
		return 0, false
	}
	e.running++
	e.mu.Unlock()
	return version, true
}

// serve runs a request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if e.misdirected(w, r) {
		return
	}
	version, ok := e.admit(w, r)
	if !ok {
		return
	}
	h := e.holder
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		e.running--
	}()
	id, salt := r.Header.Get("Request-Id"), r.Header.Get("Cache-Salt")
	var keys []partKey
	var tokens []int
	for _, entry := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		name, count, _ := strings.Cut(entry, ":")
		n, _ := strconv.Atoi(count)
		keys, tokens = append(keys, partKey{salt, name}), append(tokens, n)
	}
	note("run     %s at %s, weights %d, salt %q, fetch %q", id, e.id, version, salt, r.Header.Get("Kv-Fetch"))
	used := e.fetchAll(r, id, keys, tokens)
	// What the run uses of kept context must be of the weights that it begins on. A run that goes on under newer weights breaks nothing.
	for i := range used {
		if p, ok := h.get(keys[i]); ok && p.made != version && e.weights() == version {
			breach("STALE", "%s runs at %s on weights %d with part %s, which was made under weights %d (salt %q)", id, e.id, version, keys[i].id, p.made, salt)
		}
	}
	saves := strings.Split(r.Header.Get("Kv-Save"), ",")
	for i := used; i < len(keys); i++ {
		e.prefill.Lock()
		time.Sleep(time.Duration(float64(tokens[i]) / prefillPerMS * float64(time.Millisecond)))
		e.prefill.Unlock()
		if r.Context().Err() != nil {
			return
		}
		h.set(keys[i], part{tokens[i], e.weights()})
		if i < len(saves) {
			e.save(strings.TrimSpace(saves[i]), keys[i], part{tokens[i], e.weights()})
		}
	}
	_, out, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	count, _ := strconv.Atoi(out)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.Itoa(e.weights()))
	w.WriteHeader(200)
	for n := 8; n-8 < count; n += 8 {
		time.Sleep(25 * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n/8, id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// fetchAll fetches what the request names, and returns how many parts from the start the engine then keeps.
func (e *engine) fetchAll(r *http.Request, id string, keys []partKey, tokens []int) (used int) {
	sources := strings.Split(r.Header.Get("Kv-Fetch"), ",")
	until, _ := strconv.ParseInt(r.Header.Get("Kv-Until"), 10, 64)
	for i, k := range keys {
		if _, has := e.get(k); !has && (i >= len(sources) || !e.fetch(id, strings.TrimSpace(sources[i]), k, until)) {
			break
		}
		used++
	}
	return used
}

// fetch fetches one part and reports whether the engine has it then.
func (e *engine) fetch(id, source string, k partKey, until int64) (ok bool) {
	addr, _, _ := strings.Cut(source, "/")
	from, known := holders.Load(addr)
	if !known {
		return false
	}
	asked := time.Now()
	e.link.Lock()
	defer e.link.Unlock()
	if time.Since(asked) > maxTransferWait {
		return false
	}
	h := from.(*holder)
	p, f, ok := h.begin(k)
	if !ok {
		time.Sleep(time.Millisecond)
		return false
	}
	took := time.Duration(float64(p.tokens) * tokenBytes * 8 / engineLink * float64(time.Second))
	if h.zone != e.holder.zone {
		took *= 2
	}
	time.Sleep(storeFirst + took)
	freed := h.end(k, f)
	if until > 0 && clockMS() > until {
		return false
	}
	if freed {
		breach("MIXED", "%s at %s fetched part %s (salt %q) from %s, which was freed before the fetch had ended", id, e.id, k.id, k.salt, addr)
	}
	e.set(k, p)
	return true
}

// save sends a part to a store.
func (e *engine) save(addr string, k partKey, p part) {
	to, known := holders.Load(addr)
	if !known {
		return
	}
	h := to.(*holder)
	if !h.reserve(k, p.tokens) {
		return
	}
	took := time.Duration(float64(p.tokens) * tokenBytes * 8 / engineLink * float64(time.Second))
	time.AfterFunc(storeFirst+2*took, func() {
		h.mu.Lock()
		_, still := h.partial[k]
		h.mu.Unlock()
		if still {
			h.set(k, p)
			note("saved   part %s, salt %q, made under weights %d", k.id, k.salt, p.made)
		}
	})
}
