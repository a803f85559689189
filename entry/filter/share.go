package filter

import (
	"context"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/fair"
	"bramleywharf.example/entry/chain"
	"github.com/pkg/errors"
)

// Capacity admits generations to the engines according to the organisations' shares.
type Capacity interface {
	// Enter waits until an engine has a free slot. The caller calls entered once the generation occupies the slot.
	Enter(ctx context.Context, organisation, model string, share float64) (entered func(), err error)
}

// Share queues new generations while no engine has a free slot; other calls pass at once.
type Share struct {
	capacity Capacity
}

var _ chain.Filter = (*Share)(nil)

// NewShare returns a filter that waits for a capacity.
func NewShare(capacity Capacity) *Share {
	return &Share{capacity: capacity}
}

// Handle passes on a generation once an engine has a free slot, and refuses it when the queue is full or too slow.
func (s *Share) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	r, ok := c.Request.(chain.Generate)
	if !ok {
		return next(ctx, c)
	}
	entered, err := s.capacity.Enter(ctx, c.Organisation, r.Model, c.Limit.Share)
	if errors.Is(err, fair.ErrFull) || errors.Is(err, fair.ErrLate) {
		return chain.Refuse(deny.New(deny.KindUnavailable, "%v", err).WithRetryAfter(queueRetryAfter))
	}
	if err != nil {
		return chain.Left{}
	}
	defer entered()
	return next(ctx, c.WithEntered(entered))
}
