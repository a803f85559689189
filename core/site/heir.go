package site

import (
	"maps"
	"slices"
	"time"
)

// heirLife is how long an heir is used that the platform does not list although it answers: the time in which a target that lives must be listed again.
const heirLife = 2 * time.Second

// Heir is a target that was found at the address of another one of its service, before the platform listed it.
type Heir struct {
	Of     Target // Of is the target that it follows.
	Name   string
	Found  time.Time
	listed bool // listed tells that the platform has listed it since, so that its list alone counts.
}

// Heirs holds heirs by the names of the targets that they follow; its values are never changed after construction.
type Heirs struct {
	byName map[string]Heir
}

// All returns the heirs in no order.
func (h Heirs) All() []Heir {
	return slices.Collect(maps.Values(h.byName))
}

// Len returns the number of heirs.
func (h Heirs) Len() int {
	return len(h.byName)
}

// Apply returns the targets with heirs in the places of those that they follow, and the heirs that are still needed for that. A target that is followed has ended, so it is left out also when its heir has been listed itself or is given up; settled tells that what the platform does not list is gone.
func (h Heirs) Apply(targets []Target, now time.Time, settled bool) ([]Target, Heirs) {
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.Name] = true
	}
	applied := make([]Target, 0, len(targets))
	next := Heirs{byName: make(map[string]Heir)}
	for _, t := range targets {
		heir, ok := h.byName[t.Name]
		if !ok || heir.Of.Started != t.Started || heir.Of.Address != t.Address {
			applied = append(applied, t)
			continue
		}
		heir.listed = heir.listed || listed[heir.Name]
		next.byName[t.Name] = heir
		if heir.listed || settled && now.Sub(heir.Found) > heirLife {
			continue
		}
		t.Name, t.Started, t.Leaving = heir.Name, 0, false
		applied = append(applied, t)
	}
	return applied, next
}

// WithHeir returns heirs that know one more, and whether it is news. The heir of an heir follows the target that the platform lists.
func (h Heirs) WithHeir(next Heir) (Heirs, bool) {
	for _, known := range h.byName {
		if known.Name == next.Of.Name && known.Of.Address == next.Of.Address {
			next.Of = known.Of
		}
	}
	known, ok := h.byName[next.Of.Name]
	if ok && (known.Name == next.Name || !next.Found.After(known.Found)) {
		return h, false
	}
	all := maps.Clone(h.byName)
	if all == nil {
		all = make(map[string]Heir)
	}
	all[next.Of.Name] = next
	return Heirs{byName: all}, true
}
