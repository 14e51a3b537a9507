package fakes

import (
	"container/list"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

const (
	bytesPerToken = 4
	blockTokens   = 1024
	blockBytes    = blockTokens * bytesPerToken
)

func tokenCount(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// blockKeys returns a key for each complete block of a prompt. Each key also covers the blocks before it.
func blockKeys(salt string, model ident.ModelName, version ident.Version, prompt string) (keys []string) {
	scope := fmt.Sprintf("%s/%s/%s", salt, model, version)
	chain := xxhash.New()
	_, _ = chain.WriteString(scope)
	for at := 0; at+blockBytes <= len(prompt); at += blockBytes {
		_, _ = chain.WriteString(prompt[at : at+blockBytes])
		keys = append(keys, fmt.Sprintf("%s/%016x", scope, chain.Sum64()))
	}
	return keys
}

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	maxBlocks int
	lru       *list.List
	elements  map[string]*list.Element
	// wrong holds the cached keys whose block does not belong to the key.
	wrong map[string]bool
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, lru: list.New(), elements: map[string]*list.Element{}, wrong: map[string]bool{}}
}

// lookup returns the number of leading keys in the cache and marks them as recently used.
func (c *prefixCache) lookup(keys []string) (n int) {
	for _, k := range keys {
		element, ok := c.elements[k]
		if !ok {
			return n
		}
		c.lru.MoveToFront(element)
		n++
	}
	return n
}

// add inserts a key, or marks it as recently used, and returns the evicted keys.
func (c *prefixCache) add(key string) (evicted []string) {
	if element, ok := c.elements[key]; ok {
		c.lru.MoveToFront(element)
		return nil
	}
	c.elements[key] = c.lru.PushFront(key)
	for c.lru.Len() > c.maxBlocks {
		last := c.lru.Back()
		k := c.lru.Remove(last).(string)
		delete(c.elements, k)
		delete(c.wrong, k)
		evicted = append(evicted, k)
	}
	return evicted
}

// CacheEvent reports that a block was stored in the prefix cache or evicted from it.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Block  string `json:"block"`
	Stored bool   `json:"stored"`
	at     time.Time
}

func (e *Engine) cacheKeys(keys []string) {
	for _, k := range keys {
		if _, held := e.cache.elements[k]; !held {
			e.recordCacheEvent(k, true)
		}
		for _, evicted := range e.cache.add(k) {
			e.recordCacheEvent(evicted, false)
		}
	}
}

func (e *Engine) recordCacheEvent(block string, stored bool) {
	seq := int64(1)
	if n := len(e.events); n > 0 {
		seq = e.events[n-1].Seq + 1
	}
	e.events = append(e.events, CacheEvent{Seq: seq, Block: block, Stored: stored, at: time.Now()})
}

const maxEvents = 500

// handleEvents returns the events after a sequence number. It withholds events younger than EventLag, omits the
// share EventGaps of the rest, and returns at most maxEvents.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-e.settings.EventLag)
	visible := []CacheEvent{}
	for _, ev := range e.events {
		if ev.Seq <= after || ev.at.After(cutoff) || len(visible) == maxEvents {
			continue
		}
		if e.rng.Float64() >= e.faults.get().EventGaps {
			visible = append(visible, ev)
		}
	}
	reply(w, visible)
}

// Order is the body of POST /order.
type Order struct {
	// Action is load or unload.
	Action  string          `json:"action"`
	Model   ident.ModelName `json:"model"`
	Version ident.Version   `json:"version"`
	// Fence is the fencing number of the sender.
	Fence int64 `json:"fence"`
}

// handleOrder loads or unloads weights. A load order is answered once the weights have arrived.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !decode(w, r, &o) {
		return
	}
	if !e.admitOrder(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if o.Action == "load" && e.settings.WeightsURL != "" {
		resp, err := http.Get(fmt.Sprintf("%s/weights/%s/%s", e.settings.WeightsURL, o.Model, o.Version))
		if err != nil {
			http.Error(w, "weight store unreachable", http.StatusBadGateway)
			return
		}
		_ = resp.Body.Close()
	}
	e.applyOrder(o)
}

func (e *Engine) admitOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.maxFence && !e.settings.IgnoreFencing {
		return false
	}
	e.maxFence = max(e.maxFence, o.Fence)
	return true
}

func (e *Engine) applyOrder(o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	target := sched.Loaded{Model: o.Model, Version: o.Version}
	kept := e.loaded[:0:0]
	for _, l := range e.loaded {
		if l != target {
			kept = append(kept, l)
		}
	}
	if o.Action == "load" {
		kept = append(kept, target)
	}
	e.loaded = kept
}
