package site

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Target is one server of a service, as it declares itself.
type Target struct {
	Name     string // Name is the target's id, by which a request is addressed to it.
	Service  string
	Address  string
	Domain   string
	Slots    int
	Leaving  bool  // Leaving targets are draining and get no new work.
	Started  int64 // Started differs between two starts of a target under the same name; 0 is not known yet.
	Revision uint64
}

// Follows reports whether t declares the same target as old, at the same address and not restarted since.
// If old's start is unknown, any start matches.
func (t Target) Follows(old Target) bool {
	return t.Name == old.Name && t.Address == old.Address && (t.Started == old.Started || old.Started == 0)
}

// Roster is the set of known targets. It is immutable.
type Roster struct {
	targets            map[string]Target // By name.
	missingSince       map[string]time.Time
	availableByService map[string][]Target
}

// All returns all targets in no particular order.
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

// Open returns the targets of a service that are not draining, sorted by name.
func (r *Roster) Open(service string) []Target {
	return r.availableByService[service]
}

// WithTargets returns a roster of the given targets.
// A target that only r has is kept until the retention time has passed since it was first missing.
func (r *Roster) WithTargets(targets []Target, now time.Time, retention time.Duration) *Roster {
	next := &Roster{
		targets:            make(map[string]Target, len(targets)),
		missingSince:       make(map[string]time.Time),
		availableByService: make(map[string][]Target),
	}
	for _, t := range newestByAddress(targets) {
		next.targets[t.Name] = t
	}
	if r != nil && retention > 0 {
		next.retainMissing(r, now, retention)
	}
	for _, t := range next.targets {
		if !t.Leaving {
			next.availableByService[t.Service] = append(next.availableByService[t.Service], t)
		}
	}
	for _, available := range next.availableByService {
		slices.SortFunc(available, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	return next
}

// Lapsed reports whether the roster keeps targets that are no longer listed.
func (r *Roster) Lapsed() bool {
	return len(r.missingSince) > 0
}

// Moved returns the names of old's targets that were removed, restarted or took another address since.
func (r *Roster) Moved(old *Roster) map[string]bool {
	ended := make(map[string]bool)
	if old == nil {
		return ended
	}
	for name, before := range maps.All(old.targets) {
		current, ok := r.targets[name]
		if !ok || !current.Follows(before) {
			ended[name] = true
		}
	}
	return ended
}

// retainMissing adds those targets of an older roster that are not draining, went missing less than the
// retention time ago and whose address no listed target uses.
func (r *Roster) retainMissing(old *Roster, now time.Time, retention time.Duration) {
	usedAddresses := make(map[string]bool, len(r.targets))
	for _, t := range r.targets {
		usedAddresses[t.Address] = true
	}
	for name, t := range old.targets {
		if _, listed := r.targets[name]; listed || usedAddresses[t.Address] || t.Leaving {
			continue
		}
		since, ok := old.missingSince[name]
		if !ok {
			since = now
		}
		if now.Sub(since) < retention {
			r.targets[name] = t
			r.missingSince[name] = since
		}
	}
}

// newestByAddress returns the newest target at each address: a target may restart there under another name.
func newestByAddress(targets []Target) []Target {
	byAddress := make(map[string]Target, len(targets))
	for _, t := range targets {
		if other, known := byAddress[t.Address]; !known || t.Revision > other.Revision {
			byAddress[t.Address] = t
		}
	}
	return slices.Collect(maps.Values(byAddress))
}
