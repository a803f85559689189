package shift

import (
	"sync/atomic"

	"bramleywharf.example/core/canary"
	"bramleywharf.example/core/plan"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/picker"
)

// Choice is the choice of a version for all attempts of one request. All methods of a nil choice allow any target.
type Choice struct {
	shift   *Shift
	service string
	order   uint64                 // order identifies the roll-out for which the choice was made.
	fresh   bool                   // fresh tells that the request goes to the new version.
	isPaid  bool                   // isPaid tells that the attempt was sent that the choice has taken from the credit.
	began   atomic.Pointer[string] // began points to the version of the first target that the request was sent to.
}

// Versions returns the ranks of targets for the next attempt, or nil. They follow the state of the roll-out: a request
// that was to go to the new version goes elsewhere when that is stopped.
func (c *Choice) Versions() picker.VersionChoice {
	if c == nil {
		return nil
	}
	p := (*c.shift.plans.Load())[c.service]
	if p == nil {
		p = unknownPlan
	}
	return plan.Ranks{Plan: p, IsFresh: c.fresh && c.order == p.Order, Began: c.began.Load()}
}

// unknownPlan is that of a service that this instance has not seen a target of.
var unknownPlan = &plan.Plan{}

// Sent records that an attempt of a request on a route with some prompt tokens is sent to a target. Attempts of one
// request must not be recorded at the same time.
func (c *Choice) Sent(target site.Target, route string, tokens int) {
	if c == nil {
		return
	}
	if c.began.Load() == nil {
		version := target.Version // The address of the parameter would cost an allocation without a choice, too.
		c.began.Store(&version)
	}
	c.shift.note(c.service, func(a account) account {
		return a.withSent(canary.Group{Version: target.Version, Route: route, Domain: target.Domain}, tokens, c.cost(target))
	})
	c.isPaid = c.isPaid || c.fresh
}

// cost returns what an attempt at a target takes from the credit.
func (c *Choice) cost(target site.Target) float64 {
	p := (*c.shift.plans.Load())[c.service]
	if p == nil || target.Version != p.To || c.fresh && !c.isPaid {
		return 0
	}
	return 1
}
