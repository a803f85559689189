package site

import (
	"maps"
	"slices"
	"time"
)

// unlistedTTL bounds the use of a successor that the platform's current list lacks, even if it still answers.
// A live target is listed again within this time.
const unlistedTTL = 2 * time.Second

// Successor is a target found at the address of another target of its service before the platform listed it.
type Successor struct {
	Predecessor Target // Predecessor is the target that was at the address before.
	Name        string
	FoundAt     time.Time
	listed      bool // The platform has listed the successor since; from then on only the list counts.
}

// Successors is a set of successors, one for each predecessor. It is immutable.
type Successors struct {
	byPredecessor map[string]Successor
}

// Unlisted returns the successors that the platform has not listed, in no particular order.
func (s Successors) Unlisted() []Successor {
	return slices.DeleteFunc(slices.Collect(maps.Values(s.byPredecessor)), func(successor Successor) bool { return successor.listed })
}

// Len returns the number of successors.
func (s Successors) Len() int {
	return len(s.byPredecessor)
}

// Apply replaces predecessors among the targets by their successors; it also returns the successors still needed.
// A predecessor has ended, so it is dropped even if its successor is listed itself or has expired.
// authoritative is set if a target that the platform does not list is certainly gone.
func (s Successors) Apply(targets []Target, now time.Time, authoritative bool) ([]Target, Successors) {
	if s.Len() == 0 {
		return targets, s
	}
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.Name] = true
	}
	applied := make([]Target, 0, len(targets))
	next := Successors{byPredecessor: make(map[string]Successor)}
	for _, t := range targets {
		successor, ok := s.byPredecessor[t.Name]
		if !ok || successor.Predecessor.StartID != t.StartID || successor.Predecessor.Address != t.Address {
			applied = append(applied, t)
			continue
		}
		successor.listed = successor.listed || listed[successor.Name]
		next.byPredecessor[t.Name] = successor
		if successor.listed || authoritative && now.Sub(successor.FoundAt) > unlistedTTL {
			continue
		}
		t.Name, t.StartID, t.Leaving = successor.Name, 0, false
		applied = append(applied, t)
	}
	return applied, next
}

// WithSuccessor returns the set with one more successor, and whether the set changed.
// A successor of a successor is stored under the predecessor that the platform lists.
func (s Successors) WithSuccessor(successor Successor) (Successors, bool) {
	for _, known := range s.byPredecessor {
		if known.Name == successor.Predecessor.Name && known.Predecessor.Address == successor.Predecessor.Address {
			successor.Predecessor = known.Predecessor
		}
	}
	known, ok := s.byPredecessor[successor.Predecessor.Name]
	if ok && (known.Name == successor.Name || !successor.FoundAt.After(known.FoundAt)) {
		return s, false
	}
	updated := maps.Clone(s.byPredecessor)
	if updated == nil {
		updated = make(map[string]Successor)
	}
	updated[successor.Predecessor.Name] = successor
	return Successors{byPredecessor: updated}, true
}
