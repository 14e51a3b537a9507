// Package conf holds one accepted configuration: routes, services, organisations and limits.
package conf

import (
	"slices"
	"strings"
	"time"

	"cicadavalve/core/ident"
)

// Kind tells what of a route's requests may be repeated.
type Kind int

// The kinds of requests.
const (
	// Once requests run at most once.
	Once Kind = iota
	// Repeat requests may run more than once.
	Repeat
	// Stream requests are answered by events and run at most once unless the route resumes them.
	Stream
)

// Share is one service's part of a route's traffic.
type Share struct {
	Service ident.ServiceName
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route is where requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares is never empty.
	Shares []Share
	// Timeout is the longest time a request may be kept, zero for no bound.
	Timeout time.Duration
	// Objective is the time to the first byte that earns full credit.
	Objective time.Duration
	// Gap is the longest pause between two events of a timely stream.
	Gap time.Duration
	// Rank is the urgency, 0 the most urgent.
	Rank int
	// Attempts is the most upstreams that may run one request, at least 1.
	Attempts  int
	Public    bool
	Sticky    bool
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once from its start.
func (r *Route) Repeatable() bool {
	return r.Kind == Repeat || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// Memory is the room for context, in tokens.
	Memory int
	// TokenSize is the kept context of one token, in bytes.
	TokenSize int
	// Link is the bandwidth of one engine, in bits a second.
	Link    float64
	Managed bool
	Models  []ident.ModelName
	// Follows is the most calls for events that one engine answers at once.
	Follows int
}

// Store describes a store of kept context.
type Store struct {
	Address string
	Zone    ident.Zone
	// Room is in tokens.
	Room int
	// Link is the bandwidth, in bits a second.
	Link float64
	// Delay is what each transfer waits before it starts.
	Delay   time.Duration
	Managed bool
	// Follows is the most calls for events that the store answers at once.
	Follows int
}

// Service is a group of interchangeable upstreams, or a store of kept context.
type Service struct {
	Name        ident.ServiceName
	HealthPath  string
	Connections int
	// ColdRate is how many requests a second a cold upstream bears, zero for no bound.
	ColdRate float64
	ColdTime time.Duration
	// Engine is nil unless the service runs models.
	Engine *Engine
	// Store is nil unless the service keeps context.
	Store *Store
}

// Organisation owns API keys.
type Organisation struct {
	Name ident.OrgID
	Keys []string
	// Rank goes before the rank of a route if HasRank.
	Rank     int
	HasRank  bool
	Isolated bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderSize int
	BodySize   int64
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Data is what a configuration is made of.
type Data struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Set is an accepted configuration that answers look-ups. It never changes.
type Set struct {
	data     Data
	services map[ident.ServiceName]*Service
	// byHost holds each host's routes, the longest prefix first.
	byHost map[string][]*Route
	byKey  map[string]*Organisation
}

// NewSet indexes a configuration.
//
//	set := conf.NewSet(data)
//	route, ok := set.Match("a.example", "/b/c")
func NewSet(data Data) *Set {
	s := &Set{data: data, services: map[ident.ServiceName]*Service{}, byHost: map[string][]*Route{}, byKey: map[string]*Organisation{}}
	for i := range s.data.Services {
		s.services[s.data.Services[i].Name] = &s.data.Services[i]
	}
	for i := range s.data.Routes {
		r := &s.data.Routes[i]
		host := strings.ToLower(r.Host)
		s.byHost[host] = append(s.byHost[host], r)
	}
	for _, routes := range s.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range s.data.Organisations {
		for _, key := range s.data.Organisations[i].Keys {
			s.byKey[key] = &s.data.Organisations[i]
		}
	}
	return s
}

// Version is the number the operator gave the configuration.
func (s *Set) Version() int64 { return s.data.Version }

// Limits bound what callers may send.
func (s *Set) Limits() Limits { return s.data.Limits }

// Routes lists every route in the operator's order.
func (s *Set) Routes() []Route { return s.data.Routes }

// Services lists every service in the operator's order.
func (s *Set) Services() []Service { return s.data.Services }

// HasOrganisations tells whether requests need a key.
func (s *Set) HasOrganisations() bool { return len(s.data.Organisations) > 0 }

// Service finds a service by its name.
func (s *Set) Service(name ident.ServiceName) (service *Service, ok bool) {
	service, ok = s.services[name]
	return service, ok
}

// Match finds the route of a host, with or without a port, whose prefix is the longest that begins the path.
func (s *Set) Match(host, path string) (route *Route, ok bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range s.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Organisation finds the holder of a key.
func (s *Set) Organisation(key string) (org *Organisation, ok bool) {
	org, ok = s.byKey[key]
	return org, ok
}

// Pick chooses a service of the route; point, in [0, 1), says where in the shares.
func (r *Route) Pick(point float64) ident.ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	left := point * float64(total)
	for _, s := range r.Shares {
		if left -= float64(max(s.Weight, 0)); left < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
