package shift

import (
	"context"
	"time"

	"bramleywharf.example/core/canary"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"github.com/pkg/errors"
)

// ErrConflict is returned by States.Save if the stored state has another revision.
var ErrConflict = errors.New("stored state has another revision")

// Orders is this instance's copy of the roll-out orders.
type Orders interface {
	// Changed returns a channel that closes at the next change.
	Changed() <-chan struct{}
	// Orders returns all valid orders, with the status in each one's object.
	Orders() []canary.Order
	// Age returns how long ago the copy was confirmed to match the store.
	Age() time.Duration
}

// States is the stored state of the roll-outs: this instance's copy of it, and calls of the store. Each call is one
// attempt, which ends with its context.
type States interface {
	// Changed returns a channel that closes at the next change of the copy.
	Changed() <-chan struct{}
	// States returns the copies of all states.
	States() []canary.State
	// Age returns how long ago the copy was confirmed to match the store.
	Age() time.Duration
	// Load reads the state of a service from the store, and returns false if there is none.
	Load(ctx context.Context, service string) (canary.State, bool, error)
	// Save stores a state if the stored one has its revision, which is 0 if there is none, and returns the new revision.
	// Its error is ErrConflict, perhaps wrapped, if the stored one has another revision.
	Save(ctx context.Context, s canary.State) (uint64, error)
	// Report writes the status of an order. If the platform allows, it does so only while the order's object has the
	// order's revision.
	Report(ctx context.Context, order canary.Order, status canary.Status) error
}

// Elector elects the instances that act in a role for the whole fleet.
type Elector interface {
	Elected(role string, count int) bool
}

// Fleet is the evidence of other instances: the roll-outs in their newest load reports, by instance.
type Fleet interface {
	Rollouts() map[string][]wire.Rollout
}

// Targets is the declared targets and the load on them.
type Targets interface {
	// Declared returns the targets of all services that are known, also those that are draining.
	Declared() []site.Target
	// IsSound reports whether a target is neither removed, restarted, draining nor suspect.
	IsSound(target site.Target) bool
	// Running returns the number of requests that all instances run at the targets of a service.
	Running(service string) int
}
