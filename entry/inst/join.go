package inst

import (
	"context"
	"fmt"
	"time"

	"bramleywharf.example/core/wait"
)

const (
	joinTimeout = time.Second            // joinTimeout bounds one call while the instance starts.
	joinPause   = 200 * time.Millisecond // joinPause is the wait after a failed call.
)

// insist repeats a step until it succeeds or the context ends.
func (i *Instance) insist(ctx context.Context, step string, do func(context.Context) error) error {
	for failed := false; ; failed = true {
		err := bounded(ctx, do)
		if err == nil {
			if failed {
				i.log.WithField("step", step).Info("store answers")
			}
			return nil
		}
		if !failed {
			i.log.WithError(err).WithField("step", step).Warn("store does not answer; trying again")
		}
		if !wait.For(ctx, joinPause) {
			return fmt.Errorf("%s: %w", step, ctx.Err())
		}
	}
}

// bounded runs one step within its time.
func bounded(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return do(ctx)
}
