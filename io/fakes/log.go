package fakes

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cicadavalve/core/ledger"
	"cicadavalve/io/logsvc"
)

// LogFaults are the faults that the log service injects.
type LogFaults struct {
	// Outage refuses every append and read.
	Outage bool `json:"outage"`
	// ReadOutage refuses every read but accepts appends.
	ReadOutage bool `json:"read_outage"`
	// LoseAnswers is the share of appends whose connection breaks after they took effect.
	LoseAnswers float64 `json:"lose_answers"`
	// DelayMs delays each append and read, in milliseconds.
	DelayMs int `json:"delay_ms"`
}

// LogSettings configures the log service.
type LogSettings struct {
	// AppendsPerSecond limits the rate of appends over all streams.
	AppendsPerSecond float64
	// Retain is the maximum number of records kept per stream; 0 keeps all.
	Retain int
	Seed   uint64
}

// Log is a stand-in for the platform's log service.
type Log struct {
	settings LogSettings
	faults   guarded[LogFaults]
	limiter  *rate.Limiter

	mu  sync.Mutex
	rng *rand.Rand
	// streams holds the retained records. grown is closed and replaced at each append, which wakes waiting reads.
	streams map[ledger.Stream]*logStream
	grown   chan struct{}
	appends int64
	records int64
}

type logStream struct {
	first   int64
	entries []ledger.Entry
}

func (s *logStream) next() int64 { return s.first + int64(len(s.entries)) }

const logBurst = 20

// NewLog returns an empty log.
func NewLog(settings LogSettings) *Log {
	return &Log{
		settings: settings, limiter: rate.NewLimiter(rate.Limit(settings.AppendsPerSecond), logBurst),
		rng: rand.New(rand.NewPCG(settings.Seed, settings.Seed)), streams: map[ledger.Stream]*logStream{},
		grown: make(chan struct{}),
	}
}

// LogStats are the numbers of appends and appended records.
type LogStats struct {
	Appends int64 `json:"appends"`
	Records int64 `json:"records"`
}

// Handler serves the log, fault injection and statistics.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	l.faults.serveFaults(mux)
	mux.HandleFunc("POST /append", l.handleAppend)
	mux.HandleFunc("GET /read", l.handleRead)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		reply(w, LogStats{l.appends, l.records})
	})
	return mux
}

// applyFaults injects the faults common to appends and reads. It returns false if it has refused the request.
func (l *Log) applyFaults(w http.ResponseWriter) bool {
	f := l.faults.get()
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	if f.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
	}
	return !f.Outage
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req logsvc.AppendRequest
	if !decode(w, r, &req) || !l.applyFaults(w) {
		return
	}
	if err := l.limiter.Wait(r.Context()); err != nil {
		http.Error(w, "append rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	if l.append(req) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

// append adds the records and reports whether a fault drops the answer.
func (l *Log) append(req logsvc.AppendRequest) (lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.streams[req.Stream]
	if !ok {
		s = &logStream{}
		l.streams[req.Stream] = s
	}
	for _, rec := range req.Records {
		s.entries = append(s.entries, ledger.Entry{Offset: s.next(), Record: rec})
	}
	if excess := len(s.entries) - l.settings.Retain; l.settings.Retain > 0 && excess > 0 {
		s.first += int64(excess)
		s.entries = append([]ledger.Entry(nil), s.entries[excess:]...)
	}
	l.appends++
	l.records += int64(len(req.Records))
	close(l.grown)
	l.grown = make(chan struct{})
	return l.rng.Float64() < l.faults.get().LoseAnswers
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w) {
		return
	}
	if l.faults.get().ReadOutage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		http.Error(w, "expected from and wait_ms", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	reply(w, l.read(ctx, ledger.Stream(q.Get("stream")), from))
}

const maxReadRecords = 1000

// read returns records from an offset on, or from the first retained one if the log has dropped some. Where there are
// none yet, it waits for an append until the context ends, and then returns none.
func (l *Log) read(ctx context.Context, stream ledger.Stream, from int64) ledger.BatchMsg {
	for {
		batch, grown := l.peek(stream, from)
		if len(batch.Entries) > 0 || from < batch.First {
			return batch
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return batch
		}
	}
}

// peek returns the stored records from an offset on, and a channel that is closed at the next append.
func (l *Log) peek(stream ledger.Stream, from int64) (batch ledger.BatchMsg, grown <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch = ledger.BatchMsg{Stream: stream}
	s, ok := l.streams[stream]
	if !ok {
		return batch, l.grown
	}
	batch.First, batch.Next = s.first, s.next()
	if i := max(from-s.first, 0); i < int64(len(s.entries)) {
		batch.Entries = s.entries[i:min(i+maxReadRecords, int64(len(s.entries)))]
	}
	return batch, l.grown
}
