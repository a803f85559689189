package sheet

import (
	"fmt"
	"slices"

	"bramleywharf.example/core/conf"
)

// Change is the sealed set of differences between two sheets: Added, Removed and Altered.
type Change interface {
	isChange()
	// String describes the change in one line.
	String() string
}

// Added is an organisation that only the new sheet has.
type Added struct {
	Limit conf.Limit
}

// Removed is an organisation that only the old sheet has.
type Removed struct {
	Limit conf.Limit
}

// Altered is an organisation whose limits differ.
type Altered struct {
	Old conf.Limit
	New conf.Limit
}

func (Added) isChange()   {}
func (Removed) isChange() {}
func (Altered) isChange() {}

// String describes the addition.
func (a Added) String() string {
	return fmt.Sprintf("+ %s: %s", a.Limit.Organisation, describe(a.Limit))
}

// String describes the removal.
func (r Removed) String() string {
	return fmt.Sprintf("- %s: %s", r.Limit.Organisation, describe(r.Limit))
}

// String describes the alteration.
func (a Altered) String() string {
	return fmt.Sprintf("~ %s: %s -> %s", a.New.Organisation, describe(a.Old), describe(a.New))
}

// Diff returns the changes from one sheet to another, in order of organisation.
func Diff(from, to conf.Sheet) []Change {
	older := byOrganisation(from)
	newer := byOrganisation(to)
	var names []string
	for n := range older {
		names = append(names, n)
	}
	for n := range newer {
		if _, both := older[n]; !both {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	var changes []Change
	for _, n := range names {
		o, hadOld := older[n]
		l, hasNew := newer[n]
		switch {
		case !hadOld:
			changes = append(changes, Added{Limit: l})
		case !hasNew:
			changes = append(changes, Removed{Limit: o})
		case describe(o) != describe(l):
			changes = append(changes, Altered{Old: o, New: l})
		}
	}
	return changes
}

// byOrganisation indexes a sheet's limits.
func byOrganisation(s conf.Sheet) map[string]conf.Limit {
	index := make(map[string]conf.Limit, len(s.Limits))
	for _, l := range s.Limits {
		index[l.Organisation] = l
	}
	return index
}

// describe writes a limit in one line.
func describe(l conf.Limit) string {
	return fmt.Sprintf("share %g, priority %d, ceiling %d, models %v, recovery %s",
		l.Share, l.Priority, l.Ceiling, l.Models, l.Recovery)
}
