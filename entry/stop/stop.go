package stop

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/grace"
)

// Settings configures a stop.
type Settings struct {
	Grace func() time.Duration // Grace returns the length of the grace period in force.
	// Elsewhere reports whether a caller that comes back most likely reaches an instance that stays.
	Elsewhere func() bool
}

// Stop is the planned stop of an instance.
type Stop struct {
	settings Settings
	began    atomic.Pointer[time.Time]
	routes   sync.Map // routes maps the name of each route to an *atomic.Pointer[grace.Lengths].
}

// New returns the stop of an instance that has got no signal to stop.
func New(s Settings) *Stop {
	return &Stop{settings: s}
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
	return grace.NewPeriod(*began, s.settings.Grace()), true
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

// Rejects reports whether the stop most likely ends such a request and its caller is better served elsewhere.
func (s *Stop) Rejects(route string, began, deadline time.Time) bool {
	return s.Cuts(route, began, deadline) && s.settings.Elsewhere()
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
