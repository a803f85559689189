package inst

import (
	"context"
	"fmt"
	"time"

	"bramleywharf.example/core/wait"
)

const (
	storeCallTimeout = time.Second            // storeCallTimeout bounds one call of the store.
	storeRetryDelay  = 200 * time.Millisecond // storeRetryDelay is the delay after a failed call during the start.
)

// retryUntilDone retries a call of the store until it succeeds or the context ends; step names it in the log.
func (i *Instance) retryUntilDone(ctx context.Context, step string, call func(context.Context) error) error {
	for failing := false; ; failing = true {
		err := withTimeout(ctx, call)
		if ctx.Err() != nil {
			return fmt.Errorf("%s: %w", step, ctx.Err())
		}
		if err == nil {
			if failing {
				i.log.WithField("step", step).Info("store is reachable again")
			}
			return nil
		}
		if !failing {
			i.log.WithError(err).WithField("step", step).Warn("store is unreachable; trying again")
		}
		if !wait.Sleep(ctx, storeRetryDelay) {
			return fmt.Errorf("%s: %w", step, ctx.Err())
		}
	}
}

// withTimeout makes one call of the store within storeCallTimeout.
func withTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return call(ctx)
}

// announce stores the entry of this instance. An attempt is not cancelled with the start, as the entry might then be
// stored after it was withdrawn.
func (i *Instance) announce(ctx context.Context) (incarnation uint64, err error) {
	err = withTimeout(context.WithoutCancel(ctx), func(ctx context.Context) error {
		incarnation, err = i.deps.Join.Announce(ctx)
		return err
	})
	return incarnation, err
}
