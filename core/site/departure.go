package site

import (
	"maps"
	"time"
)

const (
	// endedTTL is how long the name of an ended target is remembered. It is longer than an older entry with the same
	// address can stay listed, which is three heartbeats, even with an outage of some seconds.
	endedTTL = time.Minute
	// leavingTTL is how long a target gets no work after it last said that it is leaving. By then it has ended, or the
	// platform's list tells.
	leavingTTL = 2 * time.Minute
	// leavingRenewal is the age from which a repeated statement is recorded again.
	leavingRenewal = 10 * time.Second
)

// Departures holds targets that have ended, and those that have said themselves that they are leaving. It is immutable;
// the zero value is empty.
type Departures struct {
	endedAt map[string]time.Time // endedAt maps the names of ended targets to when they were found to have ended.
	leaving map[string]statement // leaving maps the names of leaving targets to their last statement.
}

// statement is what a target said at a time.
type statement struct {
	target Target
	at     time.Time
}

// Apply marks those targets as leaving that have said so since their last start. It does not change the given slice.
func (d Departures) Apply(targets []Target) []Target {
	if len(d.leaving) == 0 {
		return targets
	}
	applied := make([]Target, len(targets))
	for i, t := range targets {
		s, ok := d.leaving[t.Name]
		t.Leaving = t.Leaving || ok && t.IsSameStart(s.target)
		applied[i] = t
	}
	return applied
}

// HasEnded reports whether the target of a name has ended.
func (d Departures) HasEnded(name string) bool {
	_, ok := d.endedAt[name]
	return ok
}

// IsLeaving reports whether the set holds a recent statement of a target that it is leaving.
func (d Departures) IsLeaving(t Target, now time.Time) bool {
	s, ok := d.leaving[t.Name]
	return ok && t.IsSameStart(s.target) && now.Sub(s.at) < leavingRenewal
}

// WithEnded returns the set with more ended targets, without the records that have expired.
func (d Departures) WithEnded(targets []Target, now time.Time) Departures {
	next := d.without(now)
	for _, t := range targets {
		next.endedAt[t.Name] = now
	}
	return next
}

// WithLeaving returns the set with the statement of a target that it is leaving, without the records that have expired.
func (d Departures) WithLeaving(t Target, now time.Time) Departures {
	next := d.without(now)
	next.leaving[t.Name] = statement{target: t, at: now}
	return next
}

// without returns a copy of the set without the records that have expired.
func (d Departures) without(now time.Time) Departures {
	next := Departures{endedAt: make(map[string]time.Time, len(d.endedAt)+1), leaving: make(map[string]statement, len(d.leaving)+1)}
	maps.Copy(next.endedAt, d.endedAt)
	maps.Copy(next.leaving, d.leaving)
	maps.DeleteFunc(next.endedAt, func(_ string, at time.Time) bool { return now.Sub(at) > endedTTL })
	maps.DeleteFunc(next.leaving, func(_ string, s statement) bool { return now.Sub(s.at) > leavingTTL })
	return next
}
