package filter

import (
	"context"

	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/outbox"
)

// Buffer buffers the events of streams for callers that read slowly.
type Buffer struct {
	boxes  *outbox.Set
	enable func() bool
}

var _ chain.Filter = (*Buffer)(nil)

// NewBuffer returns a filter that buffers streams while enable returns true.
func NewBuffer(boxes *outbox.Set, enable func() bool) *Buffer {
	return &Buffer{boxes: boxes, enable: enable}
}

// Handle passes on the call, and waits at the end of its stream until the caller has all events.
func (b *Buffer) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	forward, ok := c.Request.(chain.Forward)
	if _, isStream := c.Route.RetryPolicy.(site.Stream); !ok || !isStream || !b.enable() {
		return next(ctx, c)
	}
	box := b.boxes.Open(c.ID, forward.Outlet)
	defer box.Close()
	forward.Outlet = box
	answer := next(ctx, c.WithRequest(forward))
	if _, isFinished := answer.(chain.Finished); isFinished && box.Finish(ctx) != nil {
		return chain.Left{}
	}
	return answer
}
