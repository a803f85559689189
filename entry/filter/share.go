package filter

import (
	"context"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/fair"
	"bramleywharf.example/entry/chain"
	"github.com/pkg/errors"
)

// Capacity lets generations through to the engines by the voted shares.
type Capacity interface {
	// Enter waits until an engine has room; entered is called when the generation holds it.
	Enter(ctx context.Context, organisation, model string, share float64) (entered func(), err error)
}

// Share holds new generations back while no engine has room; calls of plain services and resumed generations pass at once.
type Share struct {
	capacity Capacity
}

var _ chain.Filter = (*Share)(nil)

// NewShare returns a filter before a capacity.
func NewShare(capacity Capacity) *Share {
	return &Share{capacity: capacity}
}

// Handle passes generations on for which an engine has room.
func (s *Share) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	r, ok := c.Request.(chain.Generate)
	if !ok {
		return next(ctx, c)
	}
	entered, err := s.capacity.Enter(ctx, c.Organisation, r.Model, c.Limit.Share)
	if errors.Is(err, fair.ErrFull) || errors.Is(err, fair.ErrLate) {
		return chain.Refuse(deny.New(deny.KindUnavailable, "%v", err).WithRetryAfter(queueRetry))
	}
	if err != nil {
		return chain.Left{}
	}
	defer entered()
	return next(ctx, c.WithEntered(entered))
}
