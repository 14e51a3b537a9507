package stand

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

// StoreFaults are the faults of a KV store.
type StoreFaults struct {
	// Full refuses every write.
	Full bool `json:"full"`
	// Corrupt flips a byte of every block that is read.
	Corrupt bool `json:"corrupt"`
	// CorruptBlocks and EvictReads flip a byte of, or evict, each object of at least largeBytes while it is read.
	CorruptBlocks bool `json:"corrupt_blocks"`
	EvictReads    bool `json:"evict_reads"`
	// SlowBy divides the rate of the link; 0 and 1 leave it as it is.
	SlowBy float64 `json:"slow_by"`
}

// StoreSettings size a KV store, in bytes and bytes a second.
type StoreSettings struct {
	MemoryBytes int64
	DiskBytes   int64
	LinkRate    float64
	DiskRate    float64
}

// Store is a stand-in for a KV store with memory and disk behind a limited link.
type Store struct {
	settings StoreSettings
	faults   box[StoreFaults]
	link     *rate.Limiter
	disk     *rate.Limiter

	mu     sync.Mutex
	blocks map[string]*storedBlock
	// recent orders the blocks by use, the latest first; the head fits in memory.
	recent    *list.List
	used      int64
	linkBytes int64
	// named holds the names of all blocks of context so far, and reused counts those that came again.
	named  map[string]bool
	reused int
}

type storedBlock struct {
	key       string
	data      []byte
	committed bool
	place     *list.Element
}

const (
	// leastBurst is the least that a link moves at once; a fast one moves the bytes of a burst.
	leastBurst      = 64 << 10
	burstsPerSecond = 64
	// largeBytes tells blocks of context from what describes them.
	largeBytes = 16 << 10
)

// NewStore is an empty store.
func NewStore(s StoreSettings) *Store {
	return &Store{
		settings: s, blocks: map[string]*storedBlock{}, recent: list.New(), named: map[string]bool{},
		link: newLimiter(s.LinkRate), disk: newLimiter(s.DiskRate),
	}
}

func newLimiter(bytesPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), max(leastBurst, int(bytesPerSecond/burstsPerSecond)))
}

// StoreStats counts what a store holds and moved.
type StoreStats struct {
	Blocks    int   `json:"blocks"`
	UsedBytes int64 `json:"used_bytes"`
	LinkBytes int64 `json:"link_bytes"`
	// ReusedNames counts the blocks of context that were written under a name that had been used before.
	ReusedNames int `json:"reused_names"`
}

// Stats counts so far.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStats{len(s.blocks), s.used, s.linkBytes, s.reused}
}

// Handler serves blocks, faults and figures. A block is staged by PUT and readable
// as whole after POST .../commit with its length and checksum.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	s.faults.handle(mux)
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
	s.move(r, s.link, len(data))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.get().Full || int64(len(data)) > s.settings.MemoryBytes+s.settings.DiskBytes {
		http.Error(w, "full", http.StatusInsufficientStorage)
		return
	}
	s.remove(s.blocks[r.PathValue("key")])
	b := &storedBlock{key: r.PathValue("key"), data: data}
	if s.named[b.key] {
		s.reused++
	}
	s.named[b.key] = len(data) >= largeBytes
	b.place = s.recent.PushFront(b)
	s.blocks[b.key] = b
	s.used += int64(len(data))
	for s.used > s.settings.MemoryBytes+s.settings.DiskBytes {
		s.remove(s.recent.Back().Value.(*storedBlock))
	}
}

func (s *Store) remove(b *storedBlock) {
	if b == nil {
		return
	}
	delete(s.blocks, b.key)
	s.recent.Remove(b.place)
	s.used -= int64(len(b.data))
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	length, err := strconv.Atoi(r.URL.Query().Get("length"))
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[r.PathValue("key")]
	if err != nil || !ok || len(b.data) != length || store.Checksum(b.data) != r.URL.Query().Get("checksum") {
		http.Error(w, "not what was staged", http.StatusConflict)
		return
	}
	b.committed = true
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	data, committed, inMemory := s.find(key)
	if data == nil {
		http.NotFound(w, r)
		return
	}
	f, large := s.faults.get(), len(data) >= largeBytes
	if f.EvictReads && large {
		s.evict(key)
	}
	if !inMemory {
		s.move(r, s.disk, len(data))
	}
	s.move(r, s.link, len(data))
	if f.Corrupt || f.CorruptBlocks && large {
		data = bytes.Clone(data)
		data[len(data)-1] ^= 1
	}
	if !s.holds(key, data) {
		data = reused(data)
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

// holds reports whether a block of a length is still there.
func (s *Store) holds(key string, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[key]
	return ok && len(b.data) == len(data)
}

// reused is a block whose memory went to another one while it was read.
func reused(data []byte) []byte {
	data = bytes.Clone(data)
	for i := len(data) / 2; i < len(data); i++ {
		data[i] = ^data[i]
	}
	return data
}

func (s *Store) find(key string) (data []byte, committed, inMemory bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[key]
	if !ok {
		return nil, false, false
	}
	before := int64(0)
	for e := s.recent.Front(); e != b.place; e = e.Next() {
		before += int64(len(e.Value.(*storedBlock).data))
	}
	s.recent.MoveToFront(b.place)
	return b.data, b.committed, before < s.settings.MemoryBytes
}

// move takes as long as the bytes take over a limited way.
func (s *Store) move(r *http.Request, way *rate.Limiter, n int) {
	s.mu.Lock()
	if way == s.link {
		s.linkBytes += int64(n)
	}
	s.mu.Unlock()
	n = int(float64(n) * max(s.faults.get().SlowBy, 1))
	for n > 0 {
		part := min(n, way.Burst())
		if way.WaitN(r.Context(), part) != nil {
			return
		}
		n -= part
	}
}
