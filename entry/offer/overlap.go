package offer

import (
	"context"
	"time"

	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/send"
)

// overlapCheckDelay is the time after an offer until its target is asked whether it works on the stream, and between two
// such questions. Full targets refuse a stream at once, and both targets must not work on it for long.
const overlapCheckDelay = 250 * time.Millisecond

// Overlap is the time in which a stream is open at a silent target and at another one. Its values are never changed; the
// zero value is that of a stream that is open at one target.
type Overlap struct {
	check <-chan time.Time
	state <-chan retry.OfferState
}

// NewOverlap returns an overlap whose next question is due after a while.
func NewOverlap() Overlap {
	return Overlap{check: time.After(overlapCheckDelay)}
}

// Check returns the channel that receives a value when the other target is to be asked what it does.
func (o Overlap) Check() <-chan time.Time {
	return o.check
}

// State returns the channel that receives what the other target does.
func (o Overlap) State() <-chan retry.OfferState {
	return o.state
}

// WithQuestion returns the overlap while the other target is asked what it does with the request.
func (o Overlap) WithQuestion(ctx context.Context, s *send.Sender, target site.Target, id string) Overlap {
	state := make(chan retry.OfferState, 1)
	go func() { state <- s.OfferState(ctx, target, id) }()
	return Overlap{state: state}
}
