package site

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Target is one server of a service as it declares itself.
type Target struct {
	Name     string // Name is the target's id, by which a request is addressed to it.
	Service  string
	Address  string
	Domain   string
	Slots    int
	Leaving  bool  // Leaving targets get no new work.
	Started  int64 // Started tells one start of a target from the next under the same name; 0 is not known yet.
	Revision uint64
}

// Follows tells whether a target is the same start of the same target as an older one, as far as both are known.
func (t Target) Follows(old Target) bool {
	return t.Name == old.Name && t.Address == old.Address && (t.Started == old.Started || old.Started == 0)
}

// Roster is what is known of all targets; its values are never changed after construction.
type Roster struct {
	targets  map[string]Target
	lapsed   map[string]time.Time
	services map[string][]Target
}

// All returns every target in no order.
func (r *Roster) All() []Target {
	return slices.Collect(maps.Values(r.targets))
}

// Get returns a target by name.
func (r *Roster) Get(name string) (Target, bool) {
	t, ok := r.targets[name]
	return t, ok
}

// Len returns the number of targets.
func (r *Roster) Len() int {
	return len(r.targets)
}

// Open returns the targets of a service that take new work.
func (r *Roster) Open(service string) []Target {
	return r.services[service]
}

// WithTargets returns a roster of the given targets; those that are missing stay until keep has passed since they were missed first.
func (r *Roster) WithTargets(targets []Target, now time.Time, keep time.Duration) *Roster {
	next := &Roster{
		targets:  make(map[string]Target, len(targets)),
		lapsed:   make(map[string]time.Time),
		services: make(map[string][]Target),
	}
	for _, t := range newest(targets) {
		next.targets[t.Name] = t
	}
	if r != nil && keep > 0 {
		next.carry(r, now, keep)
	}
	for _, t := range next.targets {
		if !t.Leaving {
			next.services[t.Service] = append(next.services[t.Service], t)
		}
	}
	for _, open := range next.services {
		slices.SortFunc(open, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	return next
}

// Lapsed tells whether targets are kept that are no longer listed.
func (r *Roster) Lapsed() bool {
	return len(r.lapsed) > 0
}

// Moved returns the names of targets that are gone, started again or took another address since an older roster.
func (r *Roster) Moved(old *Roster) map[string]bool {
	moved := make(map[string]bool)
	if old == nil {
		return moved
	}
	for name, was := range maps.All(old.targets) {
		is, ok := r.targets[name]
		if !ok || !is.Follows(was) {
			moved[name] = true
		}
	}
	return moved
}

// carry keeps targets of an older roster that were missed only lately and whose address nobody else has.
func (r *Roster) carry(old *Roster, now time.Time, keep time.Duration) {
	taken := make(map[string]bool, len(r.targets))
	for _, t := range r.targets {
		taken[t.Address] = true
	}
	for name, t := range old.targets {
		if _, listed := r.targets[name]; listed || taken[t.Address] || t.Leaving {
			continue
		}
		since, ok := old.lapsed[name]
		if !ok {
			since = now
		}
		if now.Sub(since) < keep {
			r.targets[name] = t
			r.lapsed[name] = since
		}
	}
}

// newest returns the targets without those whose address a newer one has: a target that started again under another name.
func newest(targets []Target) []Target {
	holder := make(map[string]Target, len(targets))
	for _, t := range targets {
		if other, taken := holder[t.Address]; !taken || t.Revision > other.Revision {
			holder[t.Address] = t
		}
	}
	return slices.Collect(maps.Values(holder))
}
