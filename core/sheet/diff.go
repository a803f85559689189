package sheet

import (
	"fmt"
	"slices"

	"bramleywharf.example/core/conf"
)

// Change is one difference between two sheets. It is a sealed interface: Added, Removed and Altered implement it.
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
	return fmt.Sprintf("+ %s: %s", a.Limit.Organisation, formatLimit(a.Limit))
}

// String describes the removal.
func (r Removed) String() string {
	return fmt.Sprintf("- %s: %s", r.Limit.Organisation, formatLimit(r.Limit))
}

// String describes the alteration.
func (a Altered) String() string {
	return fmt.Sprintf("~ %s: %s -> %s", a.New.Organisation, formatLimit(a.Old), formatLimit(a.New))
}

// Diff returns the changes from one sheet to another, sorted by organisation.
func Diff(from, to conf.Sheet) []Change {
	older := byOrganisation(from)
	newer := byOrganisation(to)
	var names []string
	for name := range older {
		names = append(names, name)
	}
	for name := range newer {
		if _, known := older[name]; !known {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var changes []Change
	for _, name := range names {
		oldLimit, inOlder := older[name]
		newLimit, inNewer := newer[name]
		switch {
		case !inOlder:
			changes = append(changes, Added{Limit: newLimit})
		case !inNewer:
			changes = append(changes, Removed{Limit: oldLimit})
		case formatLimit(oldLimit) != formatLimit(newLimit):
			changes = append(changes, Altered{Old: oldLimit, New: newLimit})
		}
	}
	return changes
}

// byOrganisation returns a sheet's limits by organisation.
func byOrganisation(s conf.Sheet) map[string]conf.Limit {
	index := make(map[string]conf.Limit, len(s.Limits))
	for _, l := range s.Limits {
		index[l.Organisation] = l
	}
	return index
}

// formatLimit formats a limit as one line.
func formatLimit(l conf.Limit) string {
	return fmt.Sprintf("share %g, priority %d, ceiling %d, models %v, recovery %s",
		l.Share, l.Priority, l.Ceiling, l.Models, l.Recovery)
}
