package filter

import (
	"context"
	"strings"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
)

// startRetryAfter is the time after which callers should try again at an instance without a configuration.
const startRetryAfter = 300 * time.Millisecond

// Sites provides the configuration of forwarded requests.
type Sites interface {
	// Config returns the current configuration, or nil before the first one is received.
	Config() *site.Config
}

// Locate finds the route of a forwarded call and authenticates the organisation that makes it.
type Locate struct {
	configs Sites
}

var _ chain.Filter = (*Locate)(nil)

// NewLocate returns a filter that uses the routes and keys of the current configuration.
func NewLocate(configs Sites) *Locate {
	return &Locate{configs: configs}
}

// Handle passes on calls that match a route and carry the key of an organisation, unless no key is needed.
func (l *Locate) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	forward, ok := c.Request.(chain.Forward)
	if !ok {
		return chain.Refuse(deny.New(deny.KindMalformed, "request of another kind"))
	}
	config := l.configs.Config()
	if config == nil {
		return chain.Refuse(
			deny.New(deny.KindUnavailable, "the configuration is not known yet").WithRetryAfter(startRetryAfter),
		)
	}
	path, _, _ := strings.Cut(forward.Path, "?")
	route, ok := config.MatchRoute(forward.Host, path)
	if !ok {
		return chain.Refuse(deny.New(deny.KindUnknown, "no route matches at version %s", config.Version))
	}
	c = c.WithRoute(config, route).WithUrgency(route.Priority)
	if !config.RequiresKeys() {
		return next(ctx, c)
	}
	caller, ok := config.OrganisationByKey(c.Credential)
	if ok && caller.HasPriority {
		c = c.WithUrgency(caller.Priority)
	}
	if ok {
		return next(ctx, c.WithOrganisation(caller.Name))
	}
	if route.Public {
		return next(ctx, c)
	}
	return chain.Refuse(deny.New(deny.KindUnauthorised, "the key is missing or unknown at version %s", config.Version))
}
