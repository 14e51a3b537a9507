package stand

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

// LogFaults are the faults of the log service.
type LogFaults struct {
	// Outage refuses every append and read.
	Outage bool `json:"outage"`
	// ReadOutage refuses every read and takes appends.
	ReadOutage bool `json:"read_outage"`
	// LoseAnswers is the share of appends that take effect without an answer.
	LoseAnswers float64 `json:"lose_answers"`
	// DelayMs delays each append and read, in milliseconds.
	DelayMs int `json:"delay_ms"`
}

// LogSettings size the log service.
type LogSettings struct {
	// AppendsPerSecond is the rate of appends over all streams.
	AppendsPerSecond float64
	// Retain is how many records a stream keeps; 0 keeps all.
	Retain int
	Seed   uint64
}

// Log is a stand-in for the platform's log service.
type Log struct {
	settings LogSettings
	faults   box[LogFaults]
	limiter  *rate.Limiter

	mu  sync.Mutex
	rng *rand.Rand
	// streams hold the retained records; grown is closed and replaced at each append.
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

// NewLog is an empty log.
func NewLog(settings LogSettings) *Log {
	return &Log{
		settings: settings, limiter: rate.NewLimiter(rate.Limit(settings.AppendsPerSecond), logBurst),
		rng: rand.New(rand.NewPCG(settings.Seed, settings.Seed)), streams: map[ledger.Stream]*logStream{},
		grown: make(chan struct{}),
	}
}

// LogStats counts what the log did.
type LogStats struct {
	Appends int64 `json:"appends"`
	Records int64 `json:"records"`
}

// Handler serves the log, its faults and its figures.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	l.faults.handle(mux)
	mux.HandleFunc("POST /append", l.handleAppend)
	mux.HandleFunc("GET /read", l.handleRead)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		reply(w, LogStats{l.appends, l.records})
	})
	return mux
}

// meet performs the faults that every call meets; it reports whether the call may go on.
func (l *Log) meet(w http.ResponseWriter) bool {
	f := l.faults.get()
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	if f.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
	}
	return !f.Outage
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req logsvc.AppendRequest
	if !decode(w, r, &req) || !l.meet(w) {
		return
	}
	if err := l.limiter.Wait(r.Context()); err != nil {
		http.Error(w, "over the rate of appends", http.StatusTooManyRequests)
		return
	}
	if l.append(req) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

// append adds the records and reports whether the answer is to be lost.
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
	if !l.meet(w) {
		return
	}
	if l.faults.get().ReadOutage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMs, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		http.Error(w, "expected from and wait_ms", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	reply(w, l.read(ctx, ledger.Stream(q.Get("stream")), from))
}

const mostRead = 1000

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
		batch.Entries = s.entries[i:min(i+mostRead, int64(len(s.entries)))]
	}
	return batch, l.grown
}
