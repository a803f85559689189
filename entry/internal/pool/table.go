package pool

import (
	"slices"
	"sync/atomic"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/route"
)

// entry is one watched target; its values are never changed after construction, but for the shared count.
type entry struct {
	target  conf.Target
	own     *atomic.Int64 // own counts this instance's generations there.
	load    int
	slots   int
	leaving bool
	suspect bool
	fails   int
	cache   cache
}

// table is the immutable set of watched targets.
type table struct {
	entries map[string]entry
	names   []string // names is sorted.
}

// candidate returns the target as the chooser sees it.
func (e entry) candidate(prefix string) route.Candidate {
	return route.Candidate{
		Name:    e.target.Name,
		Address: e.target.Address,
		Domain:  e.target.Domain,
		Slots:   e.slots,
		Own:     int(e.own.Load()),
		Load:    e.load,
		Warm:    e.cache.belief(prefix),
		Suspect: e.suspect,
	}
}

// free returns the slots that seem free; an engine whose slots are not known always has one.
func (e entry) free() int {
	if e.slots == 0 {
		return 1
	}
	return e.slots - max(e.load, int(e.own.Load()))
}

// offers tells whether the target takes new work for a model, adapter and version.
func (e entry) offers(model, adapter, version string) bool {
	if e.leaving || e.target.Leaving {
		return false
	}
	return conf.Limit{Models: e.target.Models}.Allows(model, adapter, version)
}

// serves tells whether the target takes new work for a model, whatever the adapter and version.
func (e entry) serves(model string) bool {
	if e.leaving || e.target.Leaving {
		return false
	}
	return slices.ContainsFunc(e.target.Models, func(grant string) bool {
		name, _, _ := conf.SplitGrant(grant)
		return name == model
	})
}

// withEntry returns a table with one entry replaced, if it is there.
func (t table) withEntry(e entry) table {
	if _, ok := t.entries[e.target.Name]; !ok {
		return t
	}
	next := table{entries: make(map[string]entry, len(t.entries)), names: t.names}
	for name, old := range t.entries {
		next.entries[name] = old
	}
	next.entries[e.target.Name] = e
	return next
}
