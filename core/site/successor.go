package site

import (
	"maps"
	"slices"
	"time"
)

// successorLife is how long a successor is used that the platform does not list although it answers: the time in which a target that lives must be listed again.
const successorLife = 2 * time.Second

// Successor is a target that was found at the address of another one of its service, before the platform listed it.
type Successor struct {
	Of     Target // Of is the target that it follows.
	Name   string
	Found  time.Time
	listed bool // listed tells that the platform has listed it since, so that its list alone counts.
}

// Successors holds successors by the names of the targets that they follow; its values are never changed after construction.
type Successors struct {
	byName map[string]Successor
}

// Unlisted returns the successors that the platform has not listed, in no order.
func (s Successors) Unlisted() []Successor {
	return slices.DeleteFunc(slices.Collect(maps.Values(s.byName)), func(one Successor) bool { return one.listed })
}

// Len returns the number of successors.
func (s Successors) Len() int {
	return len(s.byName)
}

// Apply returns the targets with successors in the places of those that they follow, and the successors that are still needed for that. A target that is followed has ended, so it is left out also when its successor has been listed itself or is given up; settled tells that what the platform does not list is gone.
func (s Successors) Apply(targets []Target, now time.Time, settled bool) ([]Target, Successors) {
	if s.Len() == 0 {
		return targets, s
	}
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.Name] = true
	}
	applied := make([]Target, 0, len(targets))
	next := Successors{byName: make(map[string]Successor)}
	for _, t := range targets {
		successor, ok := s.byName[t.Name]
		if !ok || successor.Of.Started != t.Started || successor.Of.Address != t.Address {
			applied = append(applied, t)
			continue
		}
		successor.listed = successor.listed || listed[successor.Name]
		next.byName[t.Name] = successor
		if successor.listed || settled && now.Sub(successor.Found) > successorLife {
			continue
		}
		t.Name, t.Started, t.Leaving = successor.Name, 0, false
		applied = append(applied, t)
	}
	return applied, next
}

// WithSuccessor returns successors that know one more, and whether it is news. The successor of a successor follows the target that the platform lists.
func (s Successors) WithSuccessor(next Successor) (Successors, bool) {
	for _, known := range s.byName {
		if known.Name == next.Of.Name && known.Of.Address == next.Of.Address {
			next.Of = known.Of
		}
	}
	known, ok := s.byName[next.Of.Name]
	if ok && (known.Name == next.Name || !next.Found.After(known.Found)) {
		return s, false
	}
	all := maps.Clone(s.byName)
	if all == nil {
		all = make(map[string]Successor)
	}
	all[next.Of.Name] = next
	return Successors{byName: all}, true
}
