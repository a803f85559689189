package fence

import "time"

const (
	// Life is how long a holder may give orders after it asked for a renewal.
	Life = 6 * time.Second
	// Renew is the time between two renewals.
	Renew = 2 * time.Second
	// Margin is how much longer observers wait before they take a lease over.
	Margin = time.Second
	// OrderBound is the longest that one order is under way.
	OrderBound = time.Second
)

// Lease is what the platform holds; its values are never changed after construction.
type Lease struct {
	Holder string `json:"holder"`
	Number uint64 `json:"fencing-number"`
}

// Seen is what one instance knows of the lease; its values are never changed after construction.
type Seen struct {
	Lease    Lease
	Revision uint64
	Since    time.Time // Since is when this revision was first seen, by this instance's clock.
	Until    time.Time // Until is when the instance's own hold ends; zero for a lease of another.
}

// Step is the sealed set of steps: Take, Extend and Watch.
type Step interface {
	isStep()
}

// Take takes the lease over with a higher number.
type Take struct {
	Lease Lease
}

// Extend renews one's own lease.
type Extend struct {
	Lease Lease
}

// Watch does nothing but look again.
type Watch struct{}

func (Take) isStep()   {}
func (Extend) isStep() {}
func (Watch) isStep()  {}

// Engine is the sealed set of kinds of engines: Checking and Ignoring.
type Engine interface {
	isEngine()
}

// Checking engines refuse an order with an old fencing number.
type Checking struct{}

// Ignoring engines take every order.
type Ignoring struct{}

func (Checking) isEngine() {}
func (Ignoring) isEngine() {}

// Decide returns the next step of an instance that wants to hold the lease or not.
func Decide(s Seen, self string, wants bool, now time.Time) Step {
	mine := s.Lease.Holder == self && !s.Until.IsZero()
	switch {
	case mine && wants:
		return Extend{Lease: s.Lease}
	case mine, !wants:
		return Watch{}
	case s.Revision == 0, now.Sub(s.Since) > Life+Margin:
		return Take{Lease: Lease{Holder: self, Number: s.Lease.Number + 1}}
	default:
		return Watch{}
	}
}

// May tells whether the holder may send an order to a kind of engine now.
func May(s Seen, self string, e Engine, taken, now time.Time) bool {
	if s.Lease.Holder != self || now.Add(OrderBound).After(s.Until) {
		return false
	}
	switch e.(type) {
	case Ignoring:
		return now.Sub(taken) > OrderBound+Margin
	default:
		return true
	}
}

// WithHold returns what the holder knows after a renewal that it asked for at a time.
func (s Seen) WithHold(l Lease, revision uint64, asked time.Time) Seen {
	return Seen{Lease: l, Revision: revision, Since: asked, Until: asked.Add(Life)}
}

// WithLease returns what an observer knows after reading the lease.
func (s Seen) WithLease(l Lease, revision uint64, now time.Time) Seen {
	if revision == s.Revision {
		return s
	}
	return Seen{Lease: l, Revision: revision, Since: now}
}
