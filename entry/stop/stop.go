package stop

import (
	"sync/atomic"
	"time"

	"bramleywharf.example/core/grace"
)

// Stop is the planned stop of an instance.
type Stop struct {
	length func() time.Duration
	began  atomic.Pointer[time.Time]
}

// New returns the stop of an instance that has got no signal; length returns the length of the grace period in force.
func New(length func() time.Duration) *Stop {
	return &Stop{length: length}
}

// Begin records that the signal to stop has come.
func (s *Stop) Begin(now time.Time) {
	s.began.Store(&now)
}

// Period returns the grace period in force, and whether it has begun.
func (s *Stop) Period() (grace.Period, bool) {
	began := s.began.Load()
	if began == nil {
		return grace.Period{}, false
	}
	return grace.NewPeriod(*began, s.length()), true
}
