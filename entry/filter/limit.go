package filter

import (
	"context"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
)

// Ceilings counts the generations of each organisation against its ceiling.
type Ceilings interface {
	// Acquire takes a slot of an organisation's ceiling, which is held until release is called.
	Acquire(ctx context.Context, organisation string) (release func(), err error)
	// Take takes a slot even when none is free.
	Take(organisation string) (release func())
}

// Limit enforces the ceiling on concurrent generations of each organisation; other calls pass at once.
type Limit struct {
	ceilings Ceilings
}

var _ chain.Filter = (*Limit)(nil)

// NewLimit returns a filter that takes slots from ceilings.
func NewLimit(ceilings Ceilings) *Limit {
	return &Limit{ceilings: ceilings}
}

// Handle passes on a generation while it holds a slot. A resumed generation runs already, so it is never refused.
func (l *Limit) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	switch c.Request.(type) {
	case chain.Resume:
		defer l.ceilings.Take(c.Organisation)()
		return next(ctx, c)
	case chain.Generate:
		release, err := l.ceilings.Acquire(ctx, c.Organisation)
		if err != nil {
			return chain.Refuse(
				deny.New(deny.KindLimit, "%v: %d generations at once", err, c.Limit.Ceiling).WithRetryAfter(retryAfter),
			)
		}
		defer release()
		return next(ctx, c)
	default:
		return next(ctx, c)
	}
}
