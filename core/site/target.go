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
	StartID  int64 // StartID differs between two starts of a target under the same name; 0 is not known yet.
	Revision uint64
}

// IsSameStart reports whether t declares the same target as old, at the same address and not restarted since.
// If old's start is unknown, any start matches.
func (t Target) IsSameStart(old Target) bool {
	return t.Name == old.Name && t.Address == old.Address && (t.StartID == old.StartID || old.StartID == 0)
}

// TargetSet is the set of known targets. It is immutable.
type TargetSet struct {
	targets            map[string]Target // By name.
	missingSince       map[string]time.Time
	availableByService map[string][]Target
}

// All returns all targets in no particular order.
func (s *TargetSet) All() []Target {
	return slices.Collect(maps.Values(s.targets))
}

// Available returns the targets of a service that are not draining, sorted by name.
func (s *TargetSet) Available(service string) []Target {
	return s.availableByService[service]
}

// EndedSince returns the names of old's targets that were removed, restarted or took another address since.
func (s *TargetSet) EndedSince(old *TargetSet) map[string]bool {
	ended := make(map[string]bool)
	if old == nil {
		return ended
	}
	for name, before := range maps.All(old.targets) {
		current, ok := s.targets[name]
		if !ok || !current.IsSameStart(before) {
			ended[name] = true
		}
	}
	return ended
}

// Get returns a target by name.
func (s *TargetSet) Get(name string) (Target, bool) {
	t, ok := s.targets[name]
	return t, ok
}

// HasMissing reports whether the set keeps targets that are no longer listed.
func (s *TargetSet) HasMissing() bool {
	return len(s.missingSince) > 0
}

// Len returns the number of targets.
func (s *TargetSet) Len() int {
	return len(s.targets)
}

// WithTargets returns a set of the given targets.
// A target that only s has is kept until the retention time has passed since it was first missing.
func (s *TargetSet) WithTargets(targets []Target, now time.Time, retention time.Duration) *TargetSet {
	next := &TargetSet{
		targets:            make(map[string]Target, len(targets)),
		missingSince:       make(map[string]time.Time),
		availableByService: make(map[string][]Target),
	}
	for _, t := range newestByAddress(targets) {
		next.targets[t.Name] = t
	}
	if s != nil && retention > 0 {
		next.retainMissing(s, now, retention)
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

// retainMissing adds those targets of an older set that are not draining, went missing less than the
// retention time ago and whose address no listed target uses.
func (s *TargetSet) retainMissing(old *TargetSet, now time.Time, retention time.Duration) {
	usedAddresses := make(map[string]bool, len(s.targets))
	for _, t := range s.targets {
		usedAddresses[t.Address] = true
	}
	for name, t := range old.targets {
		if _, listed := s.targets[name]; listed || usedAddresses[t.Address] || t.Leaving {
			continue
		}
		since, ok := old.missingSince[name]
		if !ok {
			since = now
		}
		if now.Sub(since) < retention {
			s.targets[name] = t
			s.missingSince[name] = since
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
