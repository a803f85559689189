package filter

import (
	"context"
	"strings"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
)

// startRetry is when callers should come back to an instance that has no configuration yet.
const startRetry = 300 * time.Millisecond

// Sites gives the configuration of routed requests.
type Sites interface {
	// Config returns the configuration in force, or nil before the first is known.
	Config() *site.Config
}

// Locate finds the route of a forwarded call and the organisation that makes it.
type Locate struct {
	sites Sites
}

var _ chain.Filter = (*Locate)(nil)

// NewLocate returns a filter that knows the routes of a source.
func NewLocate(sites Sites) *Locate {
	return &Locate{sites: sites}
}

// Handle passes calls on that the configuration in force allows.
func (l *Locate) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	f, ok := c.Request.(chain.Forward)
	if !ok {
		return chain.Refuse(deny.New(deny.KindMalformed, "request of another kind"))
	}
	s := l.sites.Config()
	if s == nil {
		return chain.Refuse(deny.New(deny.KindUnavailable, "the configuration is not known yet").WithRetryAfter(startRetry))
	}
	path, _, _ := strings.Cut(f.Path, "?")
	route, ok := s.Match(f.Host, path)
	if !ok {
		return chain.Refuse(deny.New(deny.KindUnknown, "no route matches at version %s", s.Version))
	}
	c = c.WithRoute(s, route).WithUrgency(route.Priority)
	if !s.Keyed() {
		return next(ctx, c)
	}
	caller, ok := s.Caller(c.Credential)
	if ok && caller.Ranked {
		c = c.WithUrgency(caller.Priority)
	}
	if ok {
		return next(ctx, c.WithOrganisation(caller.Name))
	}
	if route.Public {
		return next(ctx, c)
	}
	return chain.Refuse(deny.New(deny.KindUnauthorised, "the key is missing or unknown at version %s", s.Version))
}
