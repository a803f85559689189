package fence

import "time"

const (
	// Life is how long a holder may send orders after it requested a renewal.
	Life = 6 * time.Second
	// Renew is the interval between two renewals.
	Renew = 2 * time.Second
	// Margin is how much longer than Life observers wait before they take a lease over.
	Margin = time.Second
	// OrderBound is the longest time that an order takes.
	OrderBound = time.Second
)

// Lease is the lease as the platform stores it; its values are never changed after construction.
type Lease struct {
	Holder string `json:"holder"`
	Number uint64 `json:"fencing-number"`
}

// Seen is what one instance knows about the lease; its values are never changed after construction.
type Seen struct {
	Lease    Lease
	Revision uint64
	Since    time.Time // Since is when this revision was first seen, by this instance's clock.
	Until    time.Time // Until is when the instance's own lease ends; zero if it is not the holder.
}

// Step is the sealed set of actions on the lease: Take, Extend and Watch.
type Step interface {
	isStep()
}

// Take takes the lease over with a higher fencing number.
type Take struct {
	Lease Lease
}

// Extend renews the instance's own lease.
type Extend struct {
	Lease Lease
}

// Watch leaves the lease as it is.
type Watch struct{}

func (Take) isStep()   {}
func (Extend) isStep() {}
func (Watch) isStep()  {}

// Engine is the sealed set of ways that engines treat fencing numbers: Checking and Ignoring.
type Engine interface {
	isEngine()
}

// Checking engines reject an order with an old fencing number.
type Checking struct{}

// Ignoring engines accept every order.
type Ignoring struct{}

func (Checking) isEngine() {}
func (Ignoring) isEngine() {}

// Decide returns the next step of an instance, given whether it should hold the lease.
func Decide(s Seen, self string, shouldHold bool, now time.Time) Step {
	isHolder := s.Lease.Holder == self && !s.Until.IsZero()
	switch {
	case isHolder && shouldHold:
		return Extend{Lease: s.Lease}
	case isHolder, !shouldHold:
		return Watch{}
	case s.Revision == 0, now.Sub(s.Since) > Life+Margin:
		return Take{Lease: Lease{Holder: self, Number: s.Lease.Number + 1}}
	default:
		return Watch{}
	}
}

// May reports whether an instance that took the lease at takenAt may send an order to a kind of engine now.
func May(s Seen, self string, e Engine, takenAt, now time.Time) bool {
	if s.Lease.Holder != self || now.Add(OrderBound).After(s.Until) {
		return false
	}
	switch e.(type) {
	case Ignoring:
		return now.Sub(takenAt) > OrderBound+Margin
	default:
		return true
	}
}

// WithHold returns what the holder knows after a successful renewal that it requested at the given time.
func (s Seen) WithHold(l Lease, revision uint64, requestedAt time.Time) Seen {
	return Seen{Lease: l, Revision: revision, Since: requestedAt, Until: requestedAt.Add(Life)}
}

// WithLease returns what an observer knows after it read the lease.
func (s Seen) WithLease(l Lease, revision uint64, now time.Time) Seen {
	if revision == s.Revision {
		return s
	}
	return Seen{Lease: l, Revision: revision, Since: now}
}
