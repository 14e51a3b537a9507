// Package conf holds an accepted configuration: routes, services, organisations and limits.
package conf

import (
	"slices"
	"strings"
	"time"

	"cicadavalve/core/ident"
)

// Kind is how often the requests of a route may run and how they are answered.
type Kind int

// The kinds of routes.
const (
	// Once requests run at most once.
	Once Kind = iota
	// Repeat requests may run more than once.
	Repeat
	// Stream requests are answered by an event stream and run at most once unless the route is resumable.
	Stream
)

// Share is the share of a route's traffic that goes to one service.
type Share struct {
	Service ident.ServiceName
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares is never empty.
	Shares []Share
	// Timeout is the maximum duration of a request, 0 for no limit.
	Timeout time.Duration
	// Objective is the time within which the first byte is due.
	Objective time.Duration
	// MaxGap is the maximum interval between two events of a stream that is on time.
	MaxGap time.Duration
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// MaxAttempts is the maximum number of upstreams that may run one request, at least 1.
	MaxAttempts int
	Public      bool
	Sticky      bool
	Resumable   bool
}

// Repeatable reports whether a request of the route may be run again from its start.
func (r *Route) Repeatable() bool {
	return r.Kind == Repeat || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// Memory is the capacity for context, in tokens.
	Memory int
	// TokenSize is the size of the cached context of one token, in bytes.
	TokenSize int
	// Link is the bandwidth of one engine, in bits per second.
	Link    float64
	Managed bool
	Models  []ident.ModelName
	// MaxFollows is the maximum number of concurrent calls for events that one engine answers.
	MaxFollows int
}

// Store describes a store of cached context.
type Store struct {
	Address string
	Zone    ident.Zone
	// Capacity is in tokens.
	Capacity int
	// Link is the bandwidth, in bits per second.
	Link float64
	// Delay is the fixed delay before each transfer starts.
	Delay   time.Duration
	Managed bool
	// MaxFollows is the maximum number of concurrent calls for events that the store answers.
	MaxFollows int
}

// Service is a group of interchangeable upstreams, or a store of cached context.
type Service struct {
	Name        ident.ServiceName
	HealthPath  string
	Connections int
	// ColdRate is the maximum rate of requests to a cold upstream, in requests per second, 0 for no limit.
	ColdRate     float64
	ColdDuration time.Duration
	// Engine is nil unless the service runs models.
	Engine *Engine
	// Store is nil unless the service is a store.
	Store *Store
	// Autoscale is nil unless the number of upstreams follows the demand.
	Autoscale *Autoscale
}

// Autoscale bounds the number of upstreams that may be ordered for a service in each of its availability zones.
type Autoscale struct {
	// Min is at least 0, Max at least Min and at least 1.
	Min, Max int
	// Boot is how long after an order a new upstream begins to serve.
	Boot time.Duration
}

// Organisation owns API keys.
type Organisation struct {
	Name ident.OrgID
	Keys []string
	// Rank overrides the rank of a route if HasRank is set.
	Rank    int
	HasRank bool
	// Isolated keeps cached context from being shared with other organisations.
	Isolated bool
}

// Limits bound the size and duration of a caller's requests. Sizes are in bytes.
type Limits struct {
	HeaderSize    int
	BodySize      int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Data is the content of a configuration.
type Data struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Set is an accepted configuration, indexed for look-ups. It is immutable.
type Set struct {
	data     Data
	services map[ident.ServiceName]*Service
	// byHost holds each host's routes, the longest prefix first.
	byHost map[string][]*Route
	byKey  map[string]*Organisation
	byName map[ident.OrgID]*Organisation
	// sharedScope is the cache scope of the organisations that are not isolated.
	sharedScope string
}

// NewSet returns the indexed configuration.
//
//	set := conf.NewSet(data)
//	route, ok := set.Match("a.example", "/b/c")
func NewSet(data Data) *Set {
	s := &Set{data: data, services: map[ident.ServiceName]*Service{}, byHost: map[string][]*Route{}, byKey: map[string]*Organisation{}, byName: map[ident.OrgID]*Organisation{}}
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
		s.byName[s.data.Organisations[i].Name] = &s.data.Organisations[i]
		for _, key := range s.data.Organisations[i].Keys {
			s.byKey[key] = &s.data.Organisations[i]
		}
	}
	s.sharedScope = sharedScope(s.data.Organisations)
	return s
}

// Version returns the configuration's version, which the operator assigns.
func (s *Set) Version() int64 { return s.data.Version }

// Limits returns the limits on callers' requests.
func (s *Set) Limits() Limits { return s.data.Limits }

// Routes returns all routes in the operator's order.
func (s *Set) Routes() []Route { return s.data.Routes }

// Services returns all services in the operator's order.
func (s *Set) Services() []Service { return s.data.Services }

// HasOrganisations reports whether organisations are configured, so that requests to routes that aren't public need a
// key.
func (s *Set) HasOrganisations() bool { return len(s.data.Organisations) > 0 }

// Service returns the service of a name. ok is false if there is none.
func (s *Set) Service(name ident.ServiceName) (service *Service, ok bool) {
	service, ok = s.services[name]
	return service, ok
}

// Match returns the route of a host, with or without a port, whose path prefix is the longest that matches the path. ok
// is false if there is none.
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

// Organisation returns the organisation that owns an API key. ok is false if there is none.
func (s *Set) Organisation(key string) (org *Organisation, ok bool) {
	org, ok = s.byKey[key]
	return org, ok
}

// Pick returns the service at a position of the route's weighted shares. fraction is in [0, 1); a uniform random value
// picks the services in proportion to their weights.
func (r *Route) Pick(fraction float64) ident.ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	rest := fraction * float64(total)
	for _, s := range r.Shares {
		if rest -= float64(max(s.Weight, 0)); rest < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
