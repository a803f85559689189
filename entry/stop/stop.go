package stop

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/grace"
)

// Stop is the planned stop of an instance.
type Stop struct {
	length func() time.Duration
	began  atomic.Pointer[time.Time]
	routes sync.Map // routes maps the name of each route to an *atomic.Pointer[grace.Lengths].
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

// Learn records how long a finished request of a route took.
func (s *Stop) Learn(route string, length time.Duration) {
	cell.TryUpdate(s.lengths(route), func(l grace.Lengths) (grace.Lengths, bool) { return l.With(length), true })
}

// Cuts reports whether the stop most likely ends a request of a route that began at a time and has a deadline.
func (s *Stop) Cuts(route string, began, deadline time.Time) bool {
	p, leaving := s.Period()
	if !leaving || deadline.Before(p.CallsEnd()) {
		return false
	}
	now := time.Now()
	return !s.lengths(route).Load().Fits(now.Sub(began), p.CallsEnd().Sub(now))
}

// lengths returns the pointer to the lengths of a route's requests.
func (s *Stop) lengths(route string) *atomic.Pointer[grace.Lengths] {
	if l, ok := s.routes.Load(route); ok {
		return l.(*atomic.Pointer[grace.Lengths])
	}
	fresh := &atomic.Pointer[grace.Lengths]{}
	fresh.Store(&grace.Lengths{})
	l, _ := s.routes.LoadOrStore(route, fresh)
	return l.(*atomic.Pointer[grace.Lengths])
}
