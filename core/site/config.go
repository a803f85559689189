package site

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Repeat is the sealed set of what may be sent more than once: Idempotent, Once and Stream.
type Repeat interface {
	isRepeat()
}

// Idempotent requests may run any number of times.
type Idempotent struct{}

// Once marks requests that run at most once.
type Once struct{}

// Stream marks requests that are answered by a series of events.
type Stream struct {
	Resumable bool          // Resumable streams may go on at another target after the last event.
	Pause     time.Duration // Pause is the longest pause between events of a response that is on time.
}

func (Idempotent) isRepeat() {}
func (Once) isRepeat()       {}
func (Stream) isRepeat()     {}

// Route says where the requests below one path of a host go.
type Route struct {
	Name     string
	Host     string
	Prefix   string // Prefix begins and ends with a slash.
	Repeat   Repeat
	Timeout  time.Duration // Timeout bounds the wait for the final answer; 0 means none.
	Aim      time.Duration // Aim is the latency within which a response is on time.
	Attempts int           // Attempts bounds the targets that one request may be sent to.
	Priority int           // Priority ranks requests; 0 is the most urgent.
	Public   bool          // Public routes need no key.
	Shares   []Share
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of targets that run the same program.
type Service struct {
	Name     string
	MaxConns int // MaxConns bounds the connections of one target, all instances together; 0 means unknown.
	Engine   *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots  int
	Memory int           // Memory is the capacity of one engine, in tokens.
	Copies bool          // Copies tells that engines keep copies of running generations for each other.
	Keep   time.Duration // Keep is how long an engine keeps such a copy after the run's end.
}

// Organisation is a caller.
type Organisation struct {
	Name     string
	Priority int  // Priority goes before a route's priority.
	Ranked   bool // Ranked tells whether Priority is given.
}

// Limits bound what callers may send.
type Limits struct {
	Header        int // Header bounds the headers, in bytes.
	Body          int // Body bounds the body, in bytes.
	HeaderTimeout time.Duration
	Idle          time.Duration // Idle bounds how long a caller's connection may stay idle.
}

// Config is one version of the whole configuration; its values are never changed after construction.
type Config struct {
	Version       string
	Revision      uint64 // Revision is the store's revision of this version.
	Limits        Limits
	routes        map[string][]Route
	services      map[string]Service
	organisations map[string]Organisation
	keyed         bool
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

// IsOnlyEngine tells whether a service has model engines and no other has.
func (c *Config) IsOnlyEngine(name string) bool {
	for _, s := range c.services {
		if (s.Engine != nil) != (s.Name == name) {
			return false
		}
	}
	_, ok := c.services[name]
	return ok
}

// Keyed tells whether callers need keys at all.
func (c *Config) Keyed() bool {
	return c.keyed
}

// Match returns the route of a host with the longest prefix of a path.
func (c *Config) Match(host, path string) (Route, bool) {
	for _, r := range c.routes[canonical(host)] {
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

// WithOrganisations returns a copy whose callers are the organisations by key.
func (c *Config) WithOrganisations(byKey map[string]Organisation) *Config {
	next := *c
	next.organisations = byKey
	next.keyed = true
	return &next
}

// WithRoutes returns a copy with the given routes.
func (c *Config) WithRoutes(routes []Route) *Config {
	next := *c
	next.routes = make(map[string][]Route)
	for _, r := range routes {
		host := canonical(r.Host)
		next.routes[host] = append(next.routes[host], r)
	}
	for _, list := range next.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
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

// Pick returns the service of a request at a draw from 0 to 1.
func (r Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := draw * total
	for _, s := range r.Shares {
		at -= s.Weight
		if at < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// canonical returns a host without its port, in lower case.
func canonical(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
