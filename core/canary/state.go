package canary

import (
	"slices"
	"time"
)

// Phase is how far a roll-out has come.
type Phase string

// The phases of a roll-out. In Moving all new requests go to the new version, and the targets of the others still run.
const (
	Running    Phase = "running"
	Moving     Phase = "moving"
	Done       Phase = "done"
	RolledBack Phase = "rolled_back"
)

// maxBarred bounds the barred versions that are stored.
const maxBarred = 16

// Status is what the operator sees of a roll-out; the zero value stands for none.
type Status struct {
	State Phase // State is Running, Done or RolledBack.
	To    string
}

// Order is an order to move the traffic of a service to a version.
type Order struct {
	Service  string
	To       string
	Duration time.Duration // Duration is the time from the order to its deadline.
	Revision uint64        // Revision is the store's revision of the object that holds the order and its status.
	Status   Status        // Status is the status in the same object.
}

// State is the stored state of a service's roll-out. It is immutable.
type State struct {
	Service  string
	To       string
	Order    uint64 // Order is the order's revision when it was accepted; it identifies the roll-out.
	Duration time.Duration
	Phase    Phase
	Share    float64       // Share is the part of the requests that goes to the new version while the phase is Running.
	Stage    int           // Stage selects the targets of the new version that get the share.
	Elapsed  time.Duration // Elapsed is the time since the order when the state was stored.
	MovedAt  time.Duration // MovedAt is the time since the order at which the phase became Moving.
	From     []string      // From holds the versions that had targets when the phase became Moving.
	Barred   []string      // Barred holds versions that get no requests, since they were rolled back or given up.
	Revision uint64        // Revision is the store's revision of the state; 0 if it was not stored yet.
}

// IsOpen reports whether the roll-out has not ended.
func (s State) IsOpen() bool {
	return s.Phase == Running || s.Phase == Moving
}

// IsBarred reports whether a version gets no requests.
func (s State) IsBarred(version string) bool {
	return slices.Contains(s.Barred, version)
}

// Status returns the status that belongs to the state.
func (s State) Status() Status {
	if s.IsOpen() {
		return Status{State: Running, To: s.To}
	}
	return Status{State: s.Phase, To: s.To}
}

// WithElapsed returns the state at a time since the order.
func (s State) WithElapsed(elapsed time.Duration) State {
	s.Elapsed = elapsed
	return s
}

// WithRevision returns the state as stored at a revision.
func (s State) WithRevision(revision uint64) State {
	s.Revision = revision
	return s
}

// WithStep returns the state after a step at a time since the order.
func (s State) WithStep(step Step, elapsed time.Duration) State {
	s.Elapsed = elapsed
	switch t := step.(type) {
	case Accept:
		return s.withOrder(t.Order)
	case SetShare:
		s.Share, s.Stage = t.Share, t.Stage
	case Move:
		s.Phase, s.From, s.MovedAt = Moving, t.From, elapsed
	case Finish:
		s.Phase = Done
	case RollBack:
		s.Phase, s.Share = RolledBack, 0
		s.Barred = s.withBarred(s.To)
	}
	return s
}

// withOrder returns the state at the begin of the roll-out of an order. The version of an earlier one that has not ended
// gets no requests.
func (s State) withOrder(o Order) State {
	if s.IsOpen() {
		s.Barred = s.withBarred(s.To)
	}
	barred := slices.DeleteFunc(slices.Clone(s.Barred), func(version string) bool { return version == o.To })
	return State{Service: o.Service, To: o.To, Order: o.Revision, Duration: o.Duration, Phase: Running, Elapsed: s.Elapsed, Barred: barred, Revision: s.Revision}
}

// withBarred returns the barred versions and one more. The oldest ones are dropped, since their targets have ended.
func (s State) withBarred(version string) []string {
	if s.IsBarred(version) {
		return s.Barred
	}
	barred := append(slices.Clone(s.Barred), version)
	return barred[max(0, len(barred)-maxBarred):]
}
