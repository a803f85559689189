package stop

import (
	"sync/atomic"

	"bramleywharf.example/core/grace"
)

// Stop is the planned stop of an instance. The zero value is that of an instance that has got no signal to stop.
type Stop struct {
	period atomic.Pointer[grace.Period]
}

// Begin records that the signal to stop has come.
func (s *Stop) Begin(p grace.Period) {
	s.period.Store(&p)
}

// Period returns the grace period, and whether it has begun.
func (s *Stop) Period() (grace.Period, bool) {
	p := s.period.Load()
	if p == nil {
		return grace.Period{}, false
	}
	return *p, true
}
