package inst

import (
	"context"
	"runtime/debug"
	"time"

	"bramleywharf.example/core/grace"
	"bramleywharf.example/core/quota"
	"bramleywharf.example/core/wait"
)

const (
	// memoryLimitShare is the part of the machine's memory that is set as the runtime's soft limit.
	memoryLimitShare = 0.6
	// bodyMemoryShare is the part of the machine's memory that bodies of requests and responses may take together. The
	// rest of the soft limit is for the state of the fleet and for streams, whose events are passed on one at a time.
	bodyMemoryShare = 0.15
)

// memoryBounds is the controller of the bounds that depend on the machine's memory.
type memoryBounds struct {
	*wait.Loop
}

// newMemoryBounds returns a controller that sets the bounds now and whenever the tuning changes.
func newMemoryBounds(tuning TuningCell, bodies *quota.Budget) memoryBounds {
	unset := debug.SetMemoryLimit(-1)
	set := func() (changed <-chan struct{}) {
		changed = tuning.Changed()
		bytes := float64(tuning.Load().MemoryMB) * (1 << 20)
		limit := unset
		if bytes > 0 {
			limit = int64(memoryLimitShare * bytes)
		}
		debug.SetMemoryLimit(limit)
		bodies.SetLimit(int64(bodyMemoryShare * bytes))
		return changed
	}
	changed := set()
	return memoryBounds{wait.Start(func(ctx context.Context) {
		defer debug.SetMemoryLimit(unset)
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				changed = set()
			}
		}
	})}
}

// graceLength returns the length of the grace period in force.
func (i *Instance) graceLength() time.Duration {
	return i.settings.Tuning.Load().Grace
}

// period returns the grace period of a stop that has begun, with the length in force.
func (i *Instance) period() grace.Period {
	p, _ := i.stopping.Period()
	return p
}

// sleepUntil waits until a time that depends on the grace period in force, and returns false if the context ends first.
func (i *Instance) sleepUntil(ctx context.Context, end func(grace.Period) time.Time) bool {
	for {
		changed := i.settings.Tuning.Changed()
		timer := time.NewTimer(time.Until(end(i.period())))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return true
		}
	}
}

// callsContext returns a context that ends when the calls that are open in a stop have to end.
func (i *Instance) callsContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		if i.sleepUntil(ctx, grace.Period.CallsEnd) {
			cancel(context.DeadlineExceeded)
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
