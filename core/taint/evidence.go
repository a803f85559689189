package taint

import (
	"slices"
	"time"
)

// evidence is what a book shows at a time.
type evidence struct {
	standing map[string][]Loss  // standing maps parts to their losses that are neither excused nor expired.
	related  map[string][]Loss  // related maps them to those of these losses that a part may have caused.
	found    map[string]Finding // found maps the parts with enough evidence to what it shows.
}

// evidence returns what the book shows at a time.
func (b Book) evidence(now time.Time) evidence {
	e := evidence{standing: make(map[string][]Loss), related: make(map[string][]Loss), found: make(map[string]Finding)}
	for part := range b.parts {
		losses := b.standing(part, now)
		if len(losses) == 0 {
			continue
		}
		related := b.related(part, losses)
		e.standing[part], e.related[part] = losses, related
		if f, ok := b.weigh(related); ok {
			e.found[part] = f
		}
	}
	return e
}

// blocked reports whether a request with some parts is blocked, as Book.Blocked does.
func (e evidence) blocked(parts []string) (Finding, bool) {
	for _, part := range parts {
		f, ok := e.found[part]
		if !ok || e.isExplained(part) {
			continue
		}
		f.Parts = e.inseparable(part)
		if !slices.ContainsFunc(f.Parts, func(p string) bool { return !slices.Contains(parts, p) }) {
			return f, true
		}
	}
	return Finding{}, false
}

// inseparable returns the parts that have losses at the same crashes as a part, which is one of them, sorted.
func (e evidence) inseparable(part string) []string {
	var parts []string
	for other := range e.standing {
		if e.includes(other, part) && e.includes(part, other) {
			parts = append(parts, other)
		}
	}
	slices.Sort(parts)
	return parts
}

// isExplained reports whether another part that is to be blocked was in requests at all crashes of a part and at more.
// Requests do not count: those that ran beside one with a part that crashes targets are lost with it.
func (e evidence) isExplained(part string) bool {
	for other := range e.found {
		if e.includes(other, part) && !e.includes(part, other) {
			return true
		}
	}
	return false
}

// includes reports whether a part has losses at all crashes that another one may have caused.
func (e evidence) includes(part, other string) bool {
	for _, l := range e.related[other] {
		if !slices.ContainsFunc(e.standing[part], l.isSameCrash) {
			return false
		}
	}
	return true
}

// hasFound reports whether isFound holds for one of some parts, which spares the comparison of all parts if none does.
func (b Book) hasFound(parts []string, now time.Time) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return b.isFound(part, now) })
}

// isFound reports whether the losses of a part are enough to block it.
func (b Book) isFound(part string, now time.Time) bool {
	if openCount(b.parts[part]) < minRequests {
		return false // Most parts have few losses; theirs need not be copied.
	}
	_, ok := b.weigh(b.related(part, b.standing(part, now)))
	return ok
}

// weigh returns what the losses that a part may have caused show, and whether that is enough to block it.
func (b Book) weigh(losses []Loss) (Finding, bool) {
	f := Finding{Losses: len(losses), Requests: countRequests(losses)}
	if f.Requests < minRequests {
		return f, false
	}
	// Losses of an outage may be those of a part that many requests have at once, but do not show that by themselves.
	apart := slices.DeleteFunc(slices.Clone(losses), func(l Loss) bool { return b.InOutage(l.Domain, l.At) })
	isApart := countRequests(apart) >= minRequests && countMoments(apart) >= minMoments
	isRepeated := slices.ContainsFunc(losses, func(l Loss) bool { return isRepeat(losses, l) }) && countCrashes(losses) >= minRepeatCrashes
	return f, isApart || isRepeated
}

// Suspected reports whether requests with one of some parts may crash targets, although none of the parts is blocked.
func (b Book) Suspected(parts []string, now time.Time) bool {
	return slices.ContainsFunc(parts, func(part string) bool {
		return countCrashes(b.related(part, b.standing(part, now))) >= minSuspectCrashes
	})
}

// standing returns the losses of a part that are neither excused nor expired.
func (b Book) standing(part string, now time.Time) []Loss {
	losses := b.parts[part]
	answered := answeredAt(losses)
	return slices.DeleteFunc(slices.Clone(losses), func(l Loss) bool { return !l.At.After(answered) || IsExpired(l.At, now) })
}

// answeredAt returns the time of the last loss that is excused. The answer came after it and excuses the earlier ones too, of which
// the instance that passed it on may not have known.
func answeredAt(losses []Loss) time.Time {
	var last time.Time
	for _, l := range losses {
		if l.Excused && l.At.After(last) {
			last = l.At
		}
	}
	return last
}

// related returns those of a part's losses that it may have caused. The others belong to outages of failure domains in which
// targets without a request with the part crashed too. A part with as many losses as the book holds may have crashed those.
func (b Book) related(part string, losses []Loss) []Loss {
	known := b.parts[part]
	if openCount(known) >= maxLosses {
		return losses
	}
	return slices.DeleteFunc(slices.Clone(losses), func(l Loss) bool {
		return b.InOutage(l.Domain, l.At) && b.crashed(l.Domain, l.At, known, 1)
	})
}

// InOutage reports whether a target of a failure domain crashed at a time at which others of the domain did. That is an
// outage of the domain, unless as many requests with a part that crashes targets came at once.
func (b Book) InOutage(domain uint64, at time.Time) bool {
	return b.crashed(domain, at, nil, outageTargets)
}

// crashed reports whether a number of targets of a failure domain crashed at about a time, without those of some losses.
func (b Book) crashed(domain uint64, at time.Time, except []Loss, count int) bool {
	if domain == 0 {
		return false
	}
	var targets []uint64
	for _, crash := range b.crashes {
		if crash.Domain != domain || at.Sub(crash.At).Abs() > momentLength || slices.Contains(targets, crash.ID.Target) {
			continue
		}
		if slices.ContainsFunc(except, Loss{ID: crash.ID, At: crash.At}.isSameCrash) {
			continue
		}
		if targets = append(targets, crash.ID.Target); len(targets) >= count {
			return true
		}
	}
	return false
}

// countRequests returns the number of requests that were lost.
func countRequests(losses []Loss) int {
	count := 0
	for i, l := range losses {
		if !slices.ContainsFunc(losses[:i], func(m Loss) bool { return m.ID.Request == l.ID.Request }) {
			count++
		}
	}
	return count
}

// countMoments returns the number of moments of losses, which are in the order of their times.
func countMoments(losses []Loss) int {
	count := 0
	var start time.Time
	for _, l := range losses {
		if count == 0 || l.At.Sub(start) >= momentLength {
			count++
			start = l.At
		}
	}
	return count
}

// countCrashes returns the number of crashes at which there were losses: a target that crashes ends several requests.
func countCrashes(losses []Loss) int {
	count := 0
	for i, l := range losses {
		if !slices.ContainsFunc(losses[:i], l.isSameCrash) {
			count++
		}
	}
	return count
}

// isRepeat reports whether the request of a loss was lost at another target too, and one outage of a failure domain does not
// explain both: they are of different domains, or of different moments.
func isRepeat(losses []Loss, l Loss) bool {
	return slices.ContainsFunc(losses, func(m Loss) bool {
		isApart := l.At.Sub(m.At).Abs() >= momentLength || l.Domain != m.Domain && l.Domain != 0 && m.Domain != 0
		return m.ID.Request == l.ID.Request && m.ID.Target != l.ID.Target && isApart
	})
}
