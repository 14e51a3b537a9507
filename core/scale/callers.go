package scale

import (
	"time"

	"cicadavalve/core/ident"
)

const (
	// callersWindow is the time over which arrivals and refusals are counted.
	callersWindow = time.Second
	// callersBuckets divides it.
	callersBuckets = 5
	// reportTTL is how long the report of another entry counts: three of the longest intervals of heartbeats, at which an entry counts as
	// dead.
	reportTTL = 1500 * time.Millisecond
)

// Callers is what an entry knows of the callers of one service.
type Callers struct {
	Service ident.ServiceName
	// Waiting is the number of requests that wait for an upstream. Arrived and Refused are how many requests arrived and were refused in
	// the last second.
	Waiting, Arrived, Refused int
}

// window counts events of the last second.
type window struct {
	counts [callersBuckets]int
	// newest is the number of the interval of the last event.
	newest int64
}

// intervalAt numbers the intervals of a window.
func intervalAt(now time.Time) int64 { return now.UnixNano() / int64(callersWindow/callersBuckets) }

func (w *window) advance(now time.Time) {
	index := intervalAt(now)
	for n := min(index-w.newest, callersBuckets); n > 0; n-- {
		w.counts[(index-n+1)%callersBuckets] = 0
	}
	w.newest = max(w.newest, index)
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.newest%callersBuckets]++
}

func (w *window) total(now time.Time) (total int) {
	w.advance(now)
	for _, n := range w.counts {
		total += n
	}
	return total
}

// callers counts the callers of one service at this entry.
type callers struct{ arrived, refused window }

// report is what another entry sent last.
type report struct {
	zone ident.Zone
	list []Callers
	at   time.Time
}

// Stats counts the callers of this entry and keeps what other entries report of theirs. Its methods aren't safe for concurrent use.
type Stats struct {
	zone  ident.Zone
	own   map[ident.ServiceName]*callers
	peers map[string]report
}

// NewStats returns the empty counts of an entry in an availability zone.
func NewStats(zone ident.Zone) *Stats {
	return &Stats{zone: zone, own: map[ident.ServiceName]*callers{}, peers: map[string]report{}}
}

// Arrived counts a request.
func (l *Stats) Arrived(now time.Time, service ident.ServiceName) {
	l.callers(service).arrived.add(now)
}

// Refused counts the refusal of a request.
func (l *Stats) Refused(now time.Time, service ident.ServiceName) {
	l.callers(service).refused.add(now)
}

func (l *Stats) callers(service ident.ServiceName) *callers {
	c, ok := l.own[service]
	if !ok {
		c = &callers{}
		l.own[service] = c
	}
	return c
}

// Own returns the callers of a service at this entry, of which a number waits.
func (l *Stats) Own(now time.Time, service ident.ServiceName, waiting int) (own Callers) {
	own = Callers{Service: service, Waiting: waiting}
	if c, known := l.own[service]; known {
		own.Arrived, own.Refused = c.arrived.total(now), c.refused.total(now)
	}
	return own
}

// Receive replaces what another entry in an availability zone reported. Negative numbers count as 0.
func (l *Stats) Receive(now time.Time, entry string, zone ident.Zone, list []Callers) {
	if len(list) == 0 {
		delete(l.peers, entry)
		return
	}
	for i := range list {
		c := &list[i]
		c.Waiting, c.Arrived, c.Refused = max(c.Waiting, 0), max(c.Arrived, 0), max(c.Refused, 0)
	}
	l.peers[entry] = report{zone, list, now}
}

// Add adds the callers of a service by the availability zone of their entries; own are those at this one.
func (l *Stats) Add(now time.Time, own Callers, add func(zone ident.Zone, c Callers)) {
	add(l.zone, own)
	for entry, r := range l.peers {
		if now.Sub(r.at) >= reportTTL {
			delete(l.peers, entry)
			continue
		}
		for _, c := range r.list {
			if c.Service == own.Service {
				add(r.zone, c)
			}
		}
	}
}
