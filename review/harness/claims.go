package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	modelName = "daka510000"
	// historyTime is for how long the store keeps records: "20 s of history". KEEP_S sets another time in seconds.
	historyTime = 20 * time.Second
	// leaseTime and touchTime are the bounds lease_ms and stable_window_ms.
	leaseTime = 3 * time.Second
	touchTime = 3 * time.Second
)

// keepTime returns for how long the store keeps records.
func keepTime() time.Duration {
	if seconds, err := strconv.Atoi(os.Getenv("KEEP_S")); err == nil {
		return time.Duration(seconds) * time.Second
	}
	return historyTime
}

func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "pule25.example", "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 10000,
		"target_latency_ms": 300, "priority": 1, "max_attempts": attempts, "auth_exempt": false, "sticky": kind == "streaming", "resumable": false,
		"gap_aim_ms": 250,
	}
}

// config is a configuration like that of the pages' example.
func config(version int, tenants ...any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-stream", "/puxa400/", "streaming", "huvo11a", 1), route("r-once", "/bobo563/", "non_idempotent", "kafi81c", 1),
			route("r-safe", "/wuhu344/", "idempotent", "kafi81c", 2),
		},
		"services": []any{
			map[string]any{
				"name": "huvo11a", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 17.0,
				"engine": map[string]any{
					"slots": 64, "kv_capacity": 144358, "kv_token_bytes": 18432, "link_mbps": 280000.0, "moves": true, "backups": true,
					"managed": true, "stride": 8, "max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
					"models": []any{map[string]any{"name": modelName}},
				},
			},
			map[string]any{"name": "kafi81c", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"max_header_bytes": 8192, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

func tenant(name string, isolated bool, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "isolated": isolated}
}

// begin starts the store, the operator's first configuration, model engines and daemons.
func (s *stage) begin(daemons, engines int, tenants ...any) (list []*engine, err error) {
	if s.store, err = newStore(randomHost(), keepTime()); err != nil {
		return nil, err
	}
	s.store.put("keyed.op", "config", config(1, tenants...))
	s.store.put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": 1})
	for i := range engines {
		e, err := newEngine(s.rec, s.store, randomHost(), fmt.Sprintf("i-%d", i+1), "huvo11a", "zone-dunedin", modelName)
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	s.daemons, err = startDaemons(s.rec, s.dir, daemons, s.store.addr, keepTime())
	return list, err
}

// nameVersion writes the operator's record of new weights.
func (s *stage) nameVersion(version int) {
	s.rec.add("operator names version %d of %s", version, modelName)
	s.store.put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": version})
}

// forgottenClaims lets the claim of the holder of the orders grow older than the store's history, names new weights, kills the holder
// right after its first order, and names newer weights. The next holder must not give orders to the same engine within the lease.
func forgottenClaims(s *stage) (err error) {
	engines, err := s.begin(3, 3, tenant("bozi300", false, firstKey))
	if err != nil {
		return err
	}
	var once sync.Once
	first := make(chan taken, 1)
	for _, e := range engines {
		e.mu.Lock()
		e.onOrder = func(t taken) { once.Do(func() { first <- t }) }
		e.mu.Unlock()
	}
	time.Sleep(historyTime + 10*time.Second)
	s.nameVersion(2)
	var t taken
	select {
	case t = <-first:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("no order within 10 s")
	}
	var killed *daemon
	var killedAt time.Time
	for _, d := range s.daemons {
		if d.id == t.holder {
			killed = d
		}
	}
	if killed == nil {
		return fmt.Errorf("holder %s is no daemon", t.holder)
	}
	if s.trouble {
		killedAt = time.Now()
		killed.signal(syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
	s.nameVersion(3)
	time.Sleep(14 * time.Second)
	return s.checkTurns(engines, killed, killedAt)
}

// checkTurns checks the rule ONE: no two machines in touch give orders to one engine in turn within the lease.
func (s *stage) checkTurns(engines []*engine, killed *daemon, killedAt time.Time) (err error) {
	inTouch := func(t taken) bool {
		if killedAt.IsZero() || t.holder != killed.id {
			return true // Started more than 30 s before, and not disturbed.
		}
		return t.at.Before(killedAt) || t.at.Sub(killed.startedAt()) >= touchTime && t.at.After(killed.startedAt())
	}
	count := 0
	for _, e := range engines {
		e.mu.Lock()
		orders := append([]taken{}, e.orders...)
		e.mu.Unlock()
		count += len(orders)
		for i := 1; i < len(orders); i++ {
			a, b := orders[i-1], orders[i]
			if a.holder == b.holder || !inTouch(a) || !inTouch(b) {
				continue
			}
			gap := b.at.Sub(a.at)
			s.rec.add("engine %s: holders %s and %s, %.3f s apart", e.id, a.holder, b.holder, gap.Seconds())
			if gap < leaseTime {
				err = fmt.Errorf("%w: ONE: engine %s took orders of %s and, %.3f s later, of %s; lease_ms is 3000", errBroken, e.id, a.holder, gap.Seconds(), b.holder)
			}
		}
	}
	if count < len(engines) {
		return fmt.Errorf("only %d orders for %d engines", count, len(engines))
	}
	return err
}
