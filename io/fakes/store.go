package fakes

import (
	"bytes"
	"container/list"
	"io"
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/time/rate"

	"cicadavalve/io/store"
)

// StoreFaults are the faults that a KV store injects.
type StoreFaults struct {
	// Full refuses every write.
	Full bool `json:"full"`
	// Corrupt flips a bit of every block that is read.
	Corrupt bool `json:"corrupt"`
	// CorruptBlocks flips a bit of each block of context that is read; EvictReads evicts the block during the read.
	// Blocks smaller than 16 KiB are not context.
	CorruptBlocks bool `json:"corrupt_blocks"`
	EvictReads    bool `json:"evict_reads"`
	// SlowBy divides the rates of the link and the disk; 0 and 1 have no effect.
	SlowBy float64 `json:"slow_by"`
}

// StoreSettings configures a KV store. Sizes are in bytes, rates in bytes per second.
type StoreSettings struct {
	MemoryBytes int64
	DiskBytes   int64
	LinkRate    float64
	DiskRate    float64
}

// Store is a stand-in for a KV store with memory and disk behind a rate-limited link.
type Store struct {
	settings StoreSettings
	faults   guarded[StoreFaults]
	link     *rate.Limiter
	disk     *rate.Limiter

	mu     sync.Mutex
	blocks map[string]*storedBlock
	// lru orders the blocks by use, most recent first. The leading blocks that fit are in memory, the rest on disk.
	lru       *list.List
	used      int64
	linkBytes int64
	// contextNames records for each name whether its last write was a block of context. reusedNames is the number of
	// writes under a name for which that was so.
	contextNames map[string]bool
	reusedNames  int
}

type storedBlock struct {
	key       string
	data      []byte
	committed bool
	element   *list.Element
}

const (
	// minBurst is the minimum burst of a rate limiter, in bytes. A fast link allows a burst of rate/burstsPerSecond.
	minBurst        = 64 << 10
	burstsPerSecond = 64
	// minContextBytes is the minimum size of a block of context; smaller blocks hold metadata.
	minContextBytes = 16 << 10
)

// NewStore returns an empty store.
func NewStore(s StoreSettings) *Store {
	return &Store{
		settings: s, blocks: map[string]*storedBlock{}, lru: list.New(), contextNames: map[string]bool{},
		link: newLimiter(s.LinkRate), disk: newLimiter(s.DiskRate),
	}
}

func newLimiter(bytesPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), max(minBurst, int(bytesPerSecond/burstsPerSecond)))
}

// StoreStats are the content and counters of a store.
type StoreStats struct {
	Blocks    int   `json:"blocks"`
	UsedBytes int64 `json:"used_bytes"`
	LinkBytes int64 `json:"link_bytes"`
	// ReusedNames is the number of writes under a name that had already been used for a block of context.
	ReusedNames int `json:"reused_names"`
}

// Stats returns the current statistics.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStats{len(s.blocks), s.used, s.linkBytes, s.reusedNames}
}

// Handler serves blocks, fault injection and statistics. PUT stages a block; POST .../commit with its length and
// checksum commits it. Reads also return uncommitted blocks, marked as such.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	s.faults.serveFaults(mux)
	mux.HandleFunc("PUT /blocks/{key}", s.put)
	mux.HandleFunc("POST /blocks/{key}/commit", s.commit)
	mux.HandleFunc("GET /blocks/{key}", s.get)
	mux.HandleFunc("DELETE /blocks/{key}", func(_ http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.remove(s.blocks[r.PathValue("key")])
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Stats()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Stats()) })
	return mux
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.throttle(r, s.link, len(data))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.get().Full || int64(len(data)) > s.settings.MemoryBytes+s.settings.DiskBytes {
		http.Error(w, "full", http.StatusInsufficientStorage)
		return
	}
	s.remove(s.blocks[r.PathValue("key")])
	b := &storedBlock{key: r.PathValue("key"), data: data}
	if s.contextNames[b.key] {
		s.reusedNames++
	}
	s.contextNames[b.key] = len(data) >= minContextBytes
	b.element = s.lru.PushFront(b)
	s.blocks[b.key] = b
	s.used += int64(len(data))
	for s.used > s.settings.MemoryBytes+s.settings.DiskBytes {
		s.remove(s.lru.Back().Value.(*storedBlock))
	}
}

func (s *Store) remove(b *storedBlock) {
	if b == nil {
		return
	}
	delete(s.blocks, b.key)
	s.lru.Remove(b.element)
	s.used -= int64(len(b.data))
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	length, err := strconv.Atoi(r.URL.Query().Get("length"))
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[r.PathValue("key")]
	if err != nil || !ok || len(b.data) != length || store.Checksum(b.data) != r.URL.Query().Get("checksum") {
		http.Error(w, "staged block missing, or length or checksum mismatch", http.StatusConflict)
		return
	}
	b.committed = true
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	data, committed, inMemory := s.lookup(key)
	if data == nil {
		http.NotFound(w, r)
		return
	}
	f, large := s.faults.get(), len(data) >= minContextBytes
	if f.EvictReads && large {
		s.evict(key)
	}
	if !inMemory {
		s.throttle(r, s.disk, len(data))
	}
	s.throttle(r, s.link, len(data))
	if f.Corrupt || f.CorruptBlocks && large {
		data = bytes.Clone(data)
		data[len(data)-1] ^= 1
	}
	if !s.stillStored(key, data) {
		data = overwritten(data)
		w.Header().Set("X-Freed", "true")
	}
	w.Header().Set("X-Committed", strconv.FormatBool(committed))
	_, _ = w.Write(data)
}

func (s *Store) evict(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(s.blocks[key])
}

// stillStored reports whether the store has a block of the key with the same length as data.
func (s *Store) stillStored(key string, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[key]
	return ok && len(b.data) == len(data)
}

// overwritten returns a copy of a block as read after its memory was reused: the second half is inverted.
func overwritten(data []byte) []byte {
	data = bytes.Clone(data)
	for i := len(data) / 2; i < len(data); i++ {
		data[i] = ^data[i]
	}
	return data
}

// lookup returns a block, marks it as recently used, and reports whether it was in memory. data is nil if absent.
func (s *Store) lookup(key string) (data []byte, committed, inMemory bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[key]
	if !ok {
		return nil, false, false
	}
	before := int64(0)
	for e := s.lru.Front(); e != b.element; e = e.Next() {
		before += int64(len(e.Value.(*storedBlock).data))
	}
	s.lru.MoveToFront(b.element)
	return b.data, b.committed, before < s.settings.MemoryBytes
}

// throttle waits for as long as n bytes take at the limiter's rate, or until the request is cancelled.
func (s *Store) throttle(r *http.Request, limiter *rate.Limiter, n int) {
	s.mu.Lock()
	if limiter == s.link {
		s.linkBytes += int64(n)
	}
	s.mu.Unlock()
	n = int(float64(n) * max(s.faults.get().SlowBy, 1))
	for n > 0 {
		part := min(n, limiter.Burst())
		if limiter.WaitN(r.Context(), part) != nil {
			return
		}
		n -= part
	}
}
