package site

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Repeat says whether a route's requests may be sent more than once.
// It is a sealed interface: Idempotent, Once and Stream implement it.
type Repeat interface {
	isRepeat()
}

// Idempotent requests may run any number of times.
type Idempotent struct{}

// Once requests run at most once.
type Once struct{}

// Stream requests are answered by a stream of events.
type Stream struct {
	Resumable bool          // Resumable streams may continue on another target after their last event.
	Pause     time.Duration // Pause is the longest gap between events that counts as on time.
}

func (Idempotent) isRepeat() {}
func (Once) isRepeat()       {}
func (Stream) isRepeat()     {}

// Route maps the requests to one host and path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string // Prefix begins and ends with a slash.
	Repeat   Repeat
	Timeout  time.Duration // Timeout bounds the wait for the complete response; 0 means no timeout.
	Aim      time.Duration // Aim is the latency up to which a response counts as on time.
	Attempts int           // Attempts limits the targets that one request is sent to.
	Priority int           // Priority ranks requests; 0 is the most urgent.
	Public   bool          // Public routes need no key.
	Shares   []Share
}

// Share is the weight of one service among those that serve a route.
type Share struct {
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
	Slots  int
	Memory int           // Memory is the capacity of one engine, in tokens.
	Copies bool          // Copies is set if engines keep replicas of each other's running generations.
	Keep   time.Duration // Keep is how long an engine keeps a replica after the generation's end.
}

// Organisation is a caller.
type Organisation struct {
	Name     string
	Priority int  // Priority overrides the route's priority.
	Ranked   bool // Ranked is set if Priority is given.
}

// Limits bound what callers may send.
type Limits struct {
	Header        int // Header limits the headers, in bytes.
	Body          int // Body limits the body, in bytes.
	HeaderTimeout time.Duration
	Idle          time.Duration // Idle is how long a caller's connection may stay idle.
}

// Config is one version of the whole configuration. It is immutable.
type Config struct {
	Version       string
	Revision      uint64 // Revision is the store's revision of this version.
	Limits        Limits
	routes        map[string][]Route      // By host, the longest prefix first.
	services      map[string]Service      // By name.
	organisations map[string]Organisation // By key.
	requiresKeys  bool
}

// NewConfig returns an empty configuration at a version.
func NewConfig(version string, revision uint64, limits Limits) *Config {
	return &Config{Version: version, Revision: revision, Limits: limits}
}

// Caller returns the organisation that holds a key.
func (c *Config) Caller(key string) (Organisation, bool) {
	o, ok := c.organisations[key]
	return o, ok
}

// IsOnlyEngine reports whether the service is the only one that has model engines.
func (c *Config) IsOnlyEngine(name string) bool {
	for _, s := range c.services {
		if (s.Engine != nil) != (s.Name == name) {
			return false
		}
	}
	_, ok := c.services[name]
	return ok
}

// Keyed reports whether callers need keys at all.
func (c *Config) Keyed() bool {
	return c.requiresKeys
}

// Match returns the host's route with the longest prefix that matches the path.
func (c *Config) Match(host, path string) (Route, bool) {
	for _, r := range c.routes[normaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
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
	return &next
}

// WithRoutes returns a copy with the given routes.
func (c *Config) WithRoutes(routes []Route) *Config {
	next := *c
	next.routes = make(map[string][]Route)
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

// Pick chooses a service by weight; draw is a random number of at least 0 and below 1.
func (r Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.Shares {
		remaining -= s.Weight
		if remaining < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// normaliseHost returns the host in lower case without its port.
func normaliseHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
