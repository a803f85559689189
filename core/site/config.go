package site

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RetryPolicy says whether a route's requests may be sent more than once.
// It is a sealed interface: Idempotent, AtMostOnce and Stream implement it.
type RetryPolicy interface {
	isRetryPolicy()
}

// Idempotent requests may run any number of times.
type Idempotent struct{}

// AtMostOnce requests run at most once.
type AtMostOnce struct{}

// Stream requests are answered by a stream of events.
type Stream struct {
	Resumable bool          // Resumable streams may continue on another target after their last event.
	MaxGap    time.Duration // MaxGap is the longest gap between events that counts as on time.
}

func (Idempotent) isRetryPolicy() {}
func (AtMostOnce) isRetryPolicy() {}
func (Stream) isRetryPolicy()     {}

// Route maps the requests to one host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // Prefix begins and ends with a slash.
	RetryPolicy RetryPolicy
	Timeout     time.Duration // Timeout bounds the wait for the complete response; 0 means no timeout.
	LatencyGoal time.Duration // LatencyGoal is the latency up to which a response counts as on time.
	MaxAttempts int           // MaxAttempts limits the targets that one request is sent to.
	Priority    int           // Priority ranks requests; 0 is the most urgent.
	Public      bool          // Public routes need no key.
	Services    []WeightedService
}

// WeightedService is the weight of one service among those that serve a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of targets that run the same program.
type Service struct {
	Name     string
	MaxConns int // MaxConns bounds the connections of all instances to one target; 0 means unknown.
	Engine   *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int
	CapacityTokens int           // CapacityTokens is the capacity of one engine, in tokens.
	KeepsReplicas  bool          // KeepsReplicas is set if engines keep replicas of each other's running generations.
	ReplicaTTL     time.Duration // ReplicaTTL is how long an engine keeps a replica after the generation's end.
}

// Organisation is a caller.
type Organisation struct {
	Name        string
	Priority    int  // Priority overrides the route's priority.
	HasPriority bool // HasPriority is set if Priority is given.
}

// MaxHeaderBytes bounds the headers of a request whatever a version allows, in bytes. A hundred requests at a time with
// headers of this size take a quarter of the memory of the smallest machines.
const MaxHeaderBytes = 256 << 10

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int // HeaderBytes limits the headers, in bytes, up to MaxHeaderBytes.
	BodyBytes     int // BodyBytes limits the body, in bytes.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // IdleTimeout is how long a caller's connection may stay idle.
}

// Config is one version of the whole configuration. It is immutable.
type Config struct {
	Version       string
	Era           uint64 // Era is the era of the store in which it was read.
	Revision      uint64 // Revision is the store's revision of this version, in that era.
	Limits        Limits
	routes        map[string][]Route      // By host, the longest prefix first.
	services      map[string]Service      // By name.
	organisations map[string]Organisation // By key.
	requiresKeys  bool
	streams       map[string]urgencies // By service, of its streaming routes.
	callers       urgencies            // Of the organisations that have a priority.
}

// NewConfig returns an empty configuration at a version.
func NewConfig(version string, revision uint64, limits Limits) *Config {
	return &Config{Version: version, Revision: revision, Limits: limits}
}

// MatchRoute returns the host's route with the longest prefix that matches the path.
func (c *Config) MatchRoute(host, path string) (Route, bool) {
	for _, r := range c.routes[normaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// OrganisationByKey returns the organisation that holds a key.
func (c *Config) OrganisationByKey(key string) (Organisation, bool) {
	o, ok := c.organisations[key]
	return o, ok
}

// RequiresKeys reports whether callers need keys at all.
func (c *Config) RequiresKeys() bool {
	return c.requiresKeys
}

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// WithOrganisations returns a copy in which callers need keys and have the given organisations by key.
func (c *Config) WithOrganisations(byKey map[string]Organisation) *Config {
	next := *c
	next.organisations = byKey
	next.requiresKeys = true
	next.callers = urgencies{}
	for _, o := range byKey {
		if o.HasPriority {
			next.callers = next.callers.with(o.Priority)
		}
	}
	return &next
}

// WithRoutes returns a copy with the given routes.
func (c *Config) WithRoutes(routes []Route) *Config {
	next := *c
	next.routes = make(map[string][]Route)
	next.streams = streamUrgencies(routes)
	for _, r := range routes {
		host := normaliseHost(r.Host)
		next.routes[host] = append(next.routes[host], r)
	}
	for _, hostRoutes := range next.routes {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return &next
}

// WithServices returns a copy with the given services.
func (c *Config) WithServices(services []Service) *Config {
	next := *c
	next.services = make(map[string]Service, len(services))
	for _, s := range services {
		next.services[s.Name] = s
	}
	return &next
}

// WithPosition returns a copy that was read in an era of the store at a revision.
func (c *Config) WithPosition(era, revision uint64) *Config {
	next := *c
	next.Era, next.Revision = era, revision
	return &next
}

// PickService chooses a service by weight; draw is a random number of at least 0 and below 1.
func (r Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.Services {
		remaining -= s.Weight
		if remaining < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// normaliseHost returns the host in lower case without its port.
func normaliseHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
