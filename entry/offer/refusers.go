package offer

import (
	"slices"

	"bramleywharf.example/core/site"
)

// Refusers is an immutable list of the targets whose last answer to a stream was a refusal, the latest one last.
type Refusers []site.Target

// Has reports whether a target is one of them.
func (r Refusers) Has(target site.Target) bool {
	return slices.ContainsFunc(r, target.IsSameStart)
}

// With returns the list with a target behind all others.
func (r Refusers) With(target site.Target) Refusers {
	return append(r.Without(target), target)
}

// Without returns the list without a target.
func (r Refusers) Without(target site.Target) Refusers {
	return slices.DeleteFunc(slices.Clone(r), target.IsSameStart)
}
