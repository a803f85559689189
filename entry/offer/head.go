package offer

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
)

// States of the head of a response.
const (
	headAwaited int32 = iota
	headSent
	headExpired
)

// Head tells whether the caller gets the head of a response, or the time for the first event has passed; exactly one of
// both happens. The zero value awaits the first event.
type Head struct {
	state atomic.Int32
}

// IsSent reports whether Send has succeeded.
func (h *Head) IsSent() bool {
	return h.state.Load() == headSent
}

// Send is called when the first event has come, and reports false if the time for it has passed.
func (h *Head) Send() bool {
	return h.state.CompareAndSwap(headAwaited, headSent)
}

// Expire is called when the time for the first event has passed, and reports false if that has come.
func (h *Head) Expire() bool {
	return h.state.CompareAndSwap(headAwaited, headExpired)
}

// ErrFirstEventTimeout ends a stream that had no event within its route's timeout.
var ErrFirstEventTimeout = errors.New("the route's timeout passed before the first event")

// HasTimeLeft reports whether neither the deadline nor the timeout for the first event has passed. When the context
// of a stream ends with time left, its caller is gone.
func HasTimeLeft(ctx context.Context) bool {
	return ctx.Err() == nil || !errors.Is(ctx.Err(), context.DeadlineExceeded) && !errors.Is(context.Cause(ctx), ErrFirstEventTimeout)
}
