package chain

import "context"

// Handler answers a call.
type Handler func(ctx context.Context, c Call) Answer

// Filter answers a call itself or passes it to the next handler.
type Filter interface {
	// Handle answers the call, by calling next if the filter passes it on.
	Handle(ctx context.Context, c Call, next Handler) Answer
}

// Build returns a handler that passes calls through the filters in the given order and then to the last handler.
func Build(last Handler, filters ...Filter) Handler {
	handler := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], handler
		handler = func(ctx context.Context, c Call) Answer {
			return f.Handle(ctx, c, next)
		}
	}
	return handler
}
