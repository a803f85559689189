package taint

import (
	"slices"
	"time"
)

// finding returns what the losses of a part show, and whether that is enough to block it.
func (b Book) finding(part string, now time.Time) (Finding, bool) {
	losses := b.open(part, now)
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
	return slices.ContainsFunc(parts, func(part string) bool { return countCrashes(b.open(part, now)) >= minSuspectCrashes })
}

// open returns the losses of a part that count.
func (b Book) open(part string, now time.Time) []Loss {
	losses := b.parts[part]
	answered := answeredAt(losses)
	return slices.DeleteFunc(slices.Clone(losses), func(l Loss) bool {
		return !l.At.After(answered) || IsExpired(l.At, now) || b.isUnrelated(part, l)
	})
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

// InOutage reports whether a target of a failure domain crashed at a time at which others of the domain did. That is an
// outage of the domain, unless as many requests with a part that crashes targets came at once.
func (b Book) InOutage(domain uint64, at time.Time) bool {
	return b.countCrashed(domain, at, nil) >= outageTargets
}

// isUnrelated reports whether a loss of a part belongs to an outage of a failure domain that the part has not caused, as a
// target without a request with the part crashed too. A part with as many losses as the book holds may have crashed that one.
func (b Book) isUnrelated(part string, l Loss) bool {
	return b.InOutage(l.Domain, l.At) && b.countCrashed(l.Domain, l.At, b.parts[part]) > 0 && openCount(b.parts[part]) < maxLosses
}

// countCrashed returns the number of targets of a failure domain that crashed at about a time, without those of some losses.
func (b Book) countCrashed(domain uint64, at time.Time, except []Loss) int {
	if domain == 0 {
		return 0
	}
	targets := make(map[uint64]bool, outageTargets)
	for _, crash := range b.crashes {
		if crash.Domain != domain || at.Sub(crash.At).Abs() > momentLength {
			continue
		}
		if !slices.ContainsFunc(except, func(l Loss) bool { return l.isSameCrash(Loss{ID: crash.ID, At: crash.At}) }) {
			targets[crash.ID.Target] = true
		}
	}
	return len(targets)
}

// countRequests returns the number of requests that were lost.
func countRequests(losses []Loss) int {
	requests := make(map[uint64]bool, len(losses))
	for _, l := range losses {
		requests[l.ID.Request] = true
	}
	return len(requests)
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
