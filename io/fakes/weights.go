package fakes

import (
	"net/http"
	"sync"
	"time"
)

// Weights is a stand-in for the rate-limited weight store.
type Weights struct {
	// loadDuration is the duration of a load while at most fullRateLoads run concurrently.
	loadDuration time.Duration

	mu         sync.Mutex
	loading    int
	maxLoading int
	loads      int
}

// fullRateLoads is the maximum number of concurrent loads that do not slow each other down.
const fullRateLoads = 2

// NewWeights returns a weight store whose loads take loadDuration when few run concurrently.
func NewWeights(loadDuration time.Duration) *Weights { return &Weights{loadDuration: loadDuration} }

// WeightsStats are the counters of a weight store.
type WeightsStats struct {
	Loads int `json:"loads"`
	// MaxConcurrent is the maximum number of concurrent loads.
	MaxConcurrent int `json:"most_at_once"`
}

// Handler serves weights and statistics. A GET of weights returns an empty body when the weights would have arrived.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(s.beginLoad())
		s.endLoad()
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, WeightsStats{s.loads, s.maxLoading})
	})
	return mux
}

// beginLoad returns the duration of the load, which grows with the number of concurrent loads.
func (s *Weights) beginLoad() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading++
	s.loads++
	s.maxLoading = max(s.maxLoading, s.loading)
	return s.loadDuration * time.Duration(max(s.loading, fullRateLoads)) / fullRateLoads
}

func (s *Weights) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
}
