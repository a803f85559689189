package fence

import "time"

const (
	// LeaseDuration is how long a holder may send orders after it requested a renewal.
	LeaseDuration = 6 * time.Second
	// RenewInterval is the interval between two renewals.
	RenewInterval = 2 * time.Second
	// TakeoverMargin is how much longer than LeaseDuration observers wait before they take a lease over.
	TakeoverMargin = time.Second
	// OrderTimeout is the longest time that an order takes.
	OrderTimeout = time.Second
)

// Lease is the lease as the platform stores it; its values are never changed after construction.
type Lease struct {
	Holder        string `json:"holder"`
	FencingNumber uint64 `json:"fencing-number"`
}

// Observation is what one instance knows about the lease; its values are never changed after construction.
type Observation struct {
	Lease     Lease
	Revision  uint64
	FirstSeen time.Time // FirstSeen is when this revision was first seen, by this instance's clock.
	HeldUntil time.Time // HeldUntil is when the instance's own lease ends; zero if it is not the holder.
}

// Step is the sealed set of actions on the lease: Take, Extend and NoAction.
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

// NoAction leaves the lease as it is.
type NoAction struct{}

func (Take) isStep()     {}
func (Extend) isStep()   {}
func (NoAction) isStep() {}

// EngineKind is the sealed set of ways that engines treat fencing numbers: ChecksFencing and IgnoresFencing.
type EngineKind interface {
	isEngineKind()
}

// ChecksFencing engines reject an order with an old fencing number.
type ChecksFencing struct{}

// IgnoresFencing engines accept every order.
type IgnoresFencing struct{}

func (ChecksFencing) isEngineKind()  {}
func (IgnoresFencing) isEngineKind() {}

// Decide returns the next step of an instance, given whether it should hold the lease.
func Decide(o Observation, self string, shouldHold bool, now time.Time) Step {
	isHolder := o.Lease.Holder == self && !o.HeldUntil.IsZero()
	switch {
	case isHolder && shouldHold:
		return Extend{Lease: o.Lease}
	case isHolder, !shouldHold:
		return NoAction{}
	case o.Revision == 0, now.Sub(o.FirstSeen) > LeaseDuration+TakeoverMargin:
		return Take{Lease: Lease{Holder: self, FencingNumber: o.Lease.FencingNumber + 1}}
	default:
		return NoAction{}
	}
}

// MayOrder reports whether an instance that took the lease at takenAt may send an order to a kind of engine now.
func MayOrder(o Observation, self string, kind EngineKind, takenAt, now time.Time) bool {
	if o.Lease.Holder != self || now.Add(OrderTimeout).After(o.HeldUntil) {
		return false
	}
	switch kind.(type) {
	case IgnoresFencing:
		return now.Sub(takenAt) > OrderTimeout+TakeoverMargin
	default:
		return true
	}
}

// WithLease returns what an observer knows after it read the lease.
func (o Observation) WithLease(l Lease, revision uint64, now time.Time) Observation {
	if revision == o.Revision {
		return o
	}
	return Observation{Lease: l, Revision: revision, FirstSeen: now}
}

// WithRenewal returns what the holder knows after a successful renewal that it requested at the given time.
func (o Observation) WithRenewal(l Lease, revision uint64, requestedAt time.Time) Observation {
	return Observation{Lease: l, Revision: revision, FirstSeen: requestedAt, HeldUntil: requestedAt.Add(LeaseDuration)}
}
