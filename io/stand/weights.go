package stand

import (
	"net/http"
	"sync"
	"time"
)

// Weights is a stand-in for the rate-limited weight store.
type Weights struct {
	// takes is how long a load lasts while at most freeLoads run at once.
	takes time.Duration

	mu      sync.Mutex
	loading int
	most    int
	loads   int
}

// freeLoads is how many loads at once take no longer than one.
const freeLoads = 2

// NewWeights is a weight store whose loads take a given time.
func NewWeights(takes time.Duration) *Weights { return &Weights{takes: takes} }

// WeightsStats counts the loads.
type WeightsStats struct {
	Loads int `json:"loads"`
	// MostAtOnce is the highest number of loads that ran at once.
	MostAtOnce int `json:"most_at_once"`
}

// Handler serves weights and figures. A GET returns when the weights would have arrived.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(s.begin())
		s.end()
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, WeightsStats{s.loads, s.most})
	})
	return mux
}

func (s *Weights) begin() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading++
	s.loads++
	s.most = max(s.most, s.loading)
	return s.takes * time.Duration(max(s.loading, freeLoads)) / freeLoads
}

func (s *Weights) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
}
