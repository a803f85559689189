package offer

import (
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/entry/send"
)

// Timing holds when the events of one stream were delivered. One goroutine uses it; the zero value has none.
type Timing struct {
	Events  int           // Events counts the events.
	First   time.Duration // First is the time from the arrival of the request to the first event.
	Longest time.Duration // Longest is the longest time between two events.
	LastAt  time.Time     // LastAt is when the last event was delivered.
}

// Delivered records an event that was delivered now, for a request that arrived at a time. The pause before the first event
// of an attempt says nothing about the pace of the engine and does not change its estimate.
func (t *Timing) Delivered(s *send.Sender, service string, received time.Time, isFirst bool) {
	now := time.Now()
	if t.LastAt.IsZero() {
		t.First = now.Sub(received)
		s.Counts.First.Update(t.First.Seconds())
	} else {
		gap := now.Sub(t.LastAt)
		t.Longest = max(t.Longest, gap)
		s.Counts.Pause.Update(gap.Seconds())
		if !isFirst {
			s.Learn(service, func(p flow.PauseEstimate) flow.PauseEstimate { return p.WithPause(gap) })
		}
	}
	t.LastAt = now
	t.Events++
}
