package pool

import (
	"slices"
	"sync/atomic"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/route"
)

// watchedTarget is the state of one watched target. It is immutable, except that all copies share ownGenerations.
type watchedTarget struct {
	target         conf.Target
	ownGenerations *atomic.Int64 // ownGenerations counts this instance's generations on the target.
	reportedLoad   int           // reportedLoad is the number of running and waiting generations in the last report.
	slots          int           // slots is 0 while not known.
	isDraining     bool          // isDraining is set by the target's report; its declaration may say so too.
	isSuspect      bool
	missedReports  int
	cacheEstimate  cacheEstimate
}

// table is the immutable set of watched targets.
type table struct {
	targets map[string]watchedTarget
	names   []string // names holds the keys of targets in order.
}

// candidate returns the target as a candidate for a prompt with a prefix.
func (w watchedTarget) candidate(prefix string) route.Candidate {
	return route.Candidate{
		Name:         w.target.Name,
		Address:      w.target.Address,
		Domain:       w.target.Domain,
		Slots:        w.slots,
		InFlight:     int(w.ownGenerations.Load()),
		ReportedLoad: w.reportedLoad,
		CachedPrefix: w.cacheEstimate.probability(prefix),
		Suspect:      w.isSuspect,
	}
}

// freeSlots returns the estimated number of free slots. It is negative for an overloaded target, and 1 for a target
// whose slots are not known.
func (w watchedTarget) freeSlots() int {
	if w.slots == 0 {
		return 1
	}
	return w.slots - max(w.reportedLoad, int(w.ownGenerations.Load()))
}

// accepts tells whether the target takes new generations of a model, adapter and version.
func (w watchedTarget) accepts(model, adapter, version string) bool {
	if w.isDraining || w.target.Leaving {
		return false
	}
	return conf.Limit{Models: w.target.Models}.Allows(model, adapter, version)
}

// acceptsModel tells whether the target takes new generations of any adapter and version of a model.
func (w watchedTarget) acceptsModel(model string) bool {
	if w.isDraining || w.target.Leaving {
		return false
	}
	return slices.ContainsFunc(w.target.Models, func(grant string) bool {
		name, _, _ := conf.ParseGrant(grant)
		return name == model
	})
}

// withTarget returns a table with a target replaced, or the same table if the target is not in it.
func (t table) withTarget(w watchedTarget) table {
	if _, ok := t.targets[w.target.Name]; !ok {
		return t
	}
	next := table{targets: make(map[string]watchedTarget, len(t.targets)), names: t.names}
	for name, old := range t.targets {
		next.targets[name] = old
	}
	next.targets[w.target.Name] = w
	return next
}
