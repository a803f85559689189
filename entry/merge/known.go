package merge

import (
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/series"
)

// disputeTimeout is how long a stream may take to ask another target for a doubtful event before another stream may.
const disputeTimeout = 10 * time.Second

// Known holds what the streams of each service have shown of the ids of its events. It is safe for concurrent use; the zero
// value knows nothing.
type Known struct {
	services cell.Keyed[numbering]
}

// numbering is what is known of one service. It is immutable.
type numbering struct {
	steps         series.Steps
	disputedUntil time.Time // disputedUntil is when no stream asks another target for a doubtful event any more.
}

// withStep returns the numbering after a step within a response.
func (n numbering) withStep(size int64) numbering {
	n.steps = n.steps.With(size)
	return n
}

// withDispute returns the numbering while a stream asks another target for a doubtful event until a time, or after it has.
func (n numbering) withDispute(until time.Time) numbering {
	n.disputedUntil = until
	return n
}

// at returns the numbering of a service.
func (k *Known) at(service string) *atomic.Pointer[numbering] {
	return k.services.At(service)
}

// learn records a step within a response of a service.
func (k *Known) learn(service string, size int64) {
	p := k.at(service)
	if old := *p.Load(); old.withStep(size) == old {
		return
	}
	cell.TryUpdate(p, func(n numbering) (numbering, bool) { return n.withStep(size), true })
}

// dispute reports whether a stream may ask another target for a doubtful event. Only one stream of a service does at a time:
// the doubtful events of two streams show how the service numbers events, and not that a target is at fault.
func (k *Known) dispute(service string) bool {
	now := time.Now()
	return cell.TryUpdate(k.at(service), func(n numbering) (numbering, bool) {
		return n.withDispute(now.Add(disputeTimeout)), !now.Before(n.disputedUntil)
	})
}

// settle records that another target has answered.
func (k *Known) settle(service string) {
	cell.TryUpdate(k.at(service), func(n numbering) (numbering, bool) { return n.withDispute(time.Time{}), true })
}
