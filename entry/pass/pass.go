package pass

import (
	"context"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/flight"
	"bramleywharf.example/entry/send"
)

// Pass handles forwarded calls by sending them to targets.
type Pass struct {
	sender *send.Sender
}

// New returns a Pass that sends requests through a sender.
func New(s *send.Sender) *Pass {
	return &Pass{sender: s}
}

// Handle forwards a call as its route says: as a stream, or as a unary call that is idempotent or runs at most once.
func (p *Pass) Handle(ctx context.Context, c chain.Call) chain.Answer {
	f, ok := c.Request.(chain.Forward)
	if !ok {
		return chain.Refuse(deny.New(deny.KindMalformed, "request of another kind"))
	}
	if r, ok := c.Route.RetryPolicy.(site.Stream); ok {
		return flight.Run(ctx, p.sender, c, f, r)
	}
	ctx, cancel := context.WithDeadline(ctx, send.Limit(c, f))
	defer cancel()
	switch c.Route.RetryPolicy.(type) {
	case site.Idempotent:
		return newUnaryCall(p.sender, c, f, true).run(ctx)
	default:
		return newUnaryCall(p.sender, c, f, false).run(ctx)
	}
}
