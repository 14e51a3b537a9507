package stand

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

// blockKeys names the whole blocks of a prompt: each key covers the blocks before it too.
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

// prefixCache holds the blocks used last.
type prefixCache struct {
	most   int
	recent *list.List
	places map[string]*list.Element
	// wrong holds the keys whose block is not what the key names.
	wrong map[string]bool
}

func newPrefixCache(most int) *prefixCache {
	return &prefixCache{most: most, recent: list.New(), places: map[string]*list.Element{}, wrong: map[string]bool{}}
}

// lookup counts the leading keys that the cache holds, and marks them as used.
func (c *prefixCache) lookup(keys []string) (n int) {
	for _, k := range keys {
		place, ok := c.places[k]
		if !ok {
			return n
		}
		c.recent.MoveToFront(place)
		n++
	}
	return n
}

// add inserts a key and returns the keys that had to go.
func (c *prefixCache) add(key string) (evicted []string) {
	if place, ok := c.places[key]; ok {
		c.recent.MoveToFront(place)
		return nil
	}
	c.places[key] = c.recent.PushFront(key)
	for c.recent.Len() > c.most {
		last := c.recent.Back()
		k := c.recent.Remove(last).(string)
		delete(c.places, k)
		delete(c.wrong, k)
		evicted = append(evicted, k)
	}
	return evicted
}

// CacheEvent tells of a block that the cache stored or dropped.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Block  string `json:"block"`
	Stored bool   `json:"stored"`
	at     time.Time
}

func (e *Engine) remember(keys []string) {
	for _, k := range keys {
		if _, held := e.cache.places[k]; !held {
			e.publish(k, true)
		}
		for _, gone := range e.cache.add(k) {
			e.publish(gone, false)
		}
	}
}

func (e *Engine) publish(block string, stored bool) {
	seq := int64(1)
	if n := len(e.events); n > 0 {
		seq = e.events[n-1].Seq + 1
	}
	e.events = append(e.events, CacheEvent{Seq: seq, Block: block, Stored: stored, at: time.Now()})
}

const mostEvents = 500

// handleEvents answers late, and leaves some events out.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	late := time.Now().Add(-e.settings.EventLag)
	shown := []CacheEvent{}
	for _, ev := range e.events {
		if ev.Seq <= after || ev.at.After(late) || len(shown) == mostEvents {
			continue
		}
		if e.rng.Float64() >= e.faults.get().EventGaps {
			shown = append(shown, ev)
		}
	}
	reply(w, shown)
}

// Order is the body of POST /order.
type Order struct {
	// Action is load or unload.
	Action  string          `json:"action"`
	Model   ident.ModelName `json:"model"`
	Version ident.Version   `json:"version"`
	// Fence is the fencing number of whoever orders.
	Fence int64 `json:"fence"`
}

// order loads or unloads weights; a load answers once the weights are there.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
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
			http.Error(w, "weight store", http.StatusBadGateway)
			return
		}
		_ = resp.Body.Close()
	}
	e.applyOrder(o)
}

func (e *Engine) admitOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.settings.IgnoreFencing {
		return false
	}
	e.fence = max(e.fence, o.Fence)
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
