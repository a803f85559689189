package filter

import (
	"context"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/stop"
)

// Reject refuses the requests that a leaving instance would begin and not complete.
type Reject struct {
	stop *stop.Stop
}

var _ chain.Filter = (*Reject)(nil)

// NewReject returns a filter for an instance that may leave.
func NewReject(s *stop.Stop) *Reject {
	return &Reject{stop: s}
}

// Handle passes on the call unless a stop would end it, and records how long a finished one took.
func (r *Reject) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	began := time.Now()
	forward, ok := c.Request.(chain.Forward)
	if ok && r.stop.Rejects(c.Route.Name, began, forward.Deadline) {
		refusal := deny.New(deny.KindUnavailable, "%v; the request would not end before", chain.ErrStopping).WithRetryAfter(stopRetryAfter)
		return chain.Stopped{Answer: chain.Refuse(refusal), Work: chain.Rejected{}}
	}
	answer := next(ctx, c)
	switch answer.(type) {
	case chain.Passed, chain.Finished:
		r.stop.Learn(c.Route.Name, time.Since(began))
	}
	return answer
}
