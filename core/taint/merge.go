package taint

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Covers reports whether the book has all losses of another one with their excuses, and the crashes beside these losses.
func (b Book) Covers(other Book) bool {
	for _, crash := range other.crashes {
		if other.hasLossBeside(crash) && !slices.ContainsFunc(b.crashes, func(c Crash) bool { return c.ID == crash.ID }) {
			return false
		}
	}
	for part, losses := range other.parts {
		for _, l := range losses {
			if !slices.ContainsFunc(b.parts[part], func(m Loss) bool { return m.ID == l.ID && (m.Excused || !l.Excused) }) {
				return false
			}
		}
	}
	return true
}

// hasLossBeside reports whether a part has a loss in the failure domain of a crash at the same moment.
func (b Book) hasLossBeside(crash Crash) bool {
	for _, losses := range b.parts {
		if slices.ContainsFunc(losses, func(l Loss) bool { return l.Domain == crash.Domain && l.At.Sub(crash.At).Abs() <= momentLength }) {
			return true
		}
	}
	return false
}

// WithTimesOf returns the book with the times that another one has of the same crashes and losses.
func (b Book) WithTimesOf(other Book) Book {
	times := make(map[LossID]time.Time, len(other.crashes))
	for _, crash := range other.crashes {
		times[crash.ID] = crash.At
	}
	for _, losses := range other.parts {
		for _, l := range losses {
			times[l.ID] = l.At
		}
	}
	next := Book{parts: make(map[string][]Loss, len(b.parts)), crashes: slices.Clone(b.crashes)}
	for i, crash := range next.crashes {
		if at, ok := times[crash.ID]; ok {
			next.crashes[i].At = at
		}
	}
	for part, losses := range b.parts {
		losses = slices.Clone(losses)
		for i, l := range losses {
			if at, ok := times[l.ID]; ok {
				losses[i].At = at
			}
		}
		slices.SortFunc(losses, func(x, y Loss) int { return cmp.Or(x.At.Compare(y.At), compareIDs(x, y)) })
		next.parts[part] = losses
	}
	return next
}

// mergeLosses returns the losses of two lists. A loss in both lists has the earlier time of the two, since times that were
// received include the time of the message. For the same reason their times do not decide which losses are kept if there
// are too many: instances would keep different ones.
func mergeLosses(a, b []Loss) []Loss {
	byID := make(map[LossID]Loss, len(a)+len(b))
	for _, l := range slices.Concat(a, b) {
		if known, ok := byID[l.ID]; ok {
			l.Excused = l.Excused || known.Excused
			if known.At.Before(l.At) {
				l.At = known.At
			}
		}
		byID[l.ID] = l
	}
	merged := slices.SortedFunc(maps.Values(byID), func(x, y Loss) int {
		return cmp.Or(compareExcused(x, y), compareIDs(x, y))
	})
	merged = merged[:min(len(merged), maxLosses)]
	slices.SortFunc(merged, func(x, y Loss) int { return cmp.Or(x.At.Compare(y.At), compareIDs(x, y)) })
	return merged
}

// mergeCrashes returns the crashes of two lists, each with the earlier of its times, in the order of their ids. If there
// are too many, those with the lowest ids are kept, so that instances keep the same ones and some of each outage.
func mergeCrashes(a, b []Crash) []Crash {
	if len(b) == 0 {
		return a
	}
	merged := slices.Concat(a, b)
	slices.SortFunc(merged, func(x, y Crash) int { return cmp.Or(compareLossIDs(x.ID, y.ID), x.At.Compare(y.At)) })
	merged = slices.CompactFunc(merged, func(x, y Crash) bool { return x.ID == y.ID })
	return merged[:min(len(merged), maxCrashes)]
}

// compareExcused orders losses that are not excused before those that are.
func compareExcused(x, y Loss) int {
	switch {
	case x.Excused == y.Excused:
		return 0
	case x.Excused:
		return 1
	default:
		return -1
	}
}

// compareIDs orders losses by their ids, which are hashes. Those of one request stay together in a full book, as a request that
// was lost twice tells more than two.
func compareIDs(x, y Loss) int {
	return cmp.Or(cmp.Compare(x.ID.Request, y.ID.Request), compareLossIDs(x.ID, y.ID))
}

func compareLossIDs(x, y LossID) int {
	return cmp.Or(cmp.Compare(x.Target, y.Target), cmp.Compare(x.Request, y.Request))
}
