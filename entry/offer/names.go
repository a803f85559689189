package offer

import "maps"

// Names is an immutable set of names of targets.
type Names map[string]bool

// With returns the set with one more name.
func (n Names) With(name string) Names {
	next := make(Names, len(n)+1)
	maps.Copy(next, n)
	next[name] = true
	return next
}
