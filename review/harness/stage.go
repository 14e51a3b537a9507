package main

import (
	"fmt"
	"time"
)

const (
	modelName = "daka510000"
	// keepTime is for how long the store keeps records, as in the pages' settings.
	keepTime = 300 * time.Second
)

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
	if s.store, err = newStore(randomHost(), keepTime); err != nil {
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
	s.daemons, err = startDaemons(s.rec, s.dir, daemons, s.store.addr, keepTime)
	return list, err
}
