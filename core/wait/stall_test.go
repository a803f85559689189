package wait

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestLimits(t *testing.T) {
	cases := map[string]struct {
		limits   Limits
		progress int           // progress is how often progress is made, every 20 ms from the start.
		end      time.Duration // end is when the context ends, or shortly after.
		err      error
	}{
		"no-progress": {Limits{First: 200 * time.Millisecond, Silence: time.Minute, Whole: time.Minute}, 0, 200 * time.Millisecond, ErrStalled},
		"stops": {
			Limits{First: 300 * time.Millisecond, Silence: 300 * time.Millisecond, Whole: time.Minute}, 20, 680 * time.Millisecond, ErrStalled,
		},
		"first-is-not-shortened": {
			Limits{First: 500 * time.Millisecond, Silence: 100 * time.Millisecond, Whole: time.Minute}, 2, 500 * time.Millisecond, ErrStalled,
		},
		"goes-on": {
			Limits{First: 500 * time.Millisecond, Silence: 500 * time.Millisecond, Whole: time.Second}, 1000, time.Second, context.DeadlineExceeded,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			start := time.Now()
			ctx, cancel := test.limits.Context(context.Background())
			defer cancel()
			for range test.progress {
				Progress(ctx)
				if !Sleep(ctx, 20*time.Millisecond) {
					break
				}
			}
			<-ctx.Done()
			c.Assert(context.Cause(ctx), quicktest.ErrorIs, test.err)
			c.Assert(time.Since(start) >= test.end, quicktest.IsTrue, quicktest.Commentf("ended after %v", time.Since(start)))
			c.Assert(time.Since(start) < test.end+2*time.Second, quicktest.IsTrue, quicktest.Commentf("ended after %v", time.Since(start)))
			Progress(ctx) // It does not bring the context back.
			c.Assert(ctx.Err(), quicktest.IsNotNil)
		})
	}
}

// TestCancelOfLimits checks that contexts end when they are cancelled, and with the one they are made from.
func TestCancelOfLimits(t *testing.T) {
	limits := Limits{First: time.Minute, Silence: time.Minute, Whole: time.Minute}
	errParent := errors.New("parent ended")
	cases := map[string]struct {
		end func(cancelParent context.CancelCauseFunc, cancel context.CancelFunc)
		err error
	}{
		"cancel": {func(_ context.CancelCauseFunc, cancel context.CancelFunc) { cancel() }, context.Canceled},
		"parent": {func(cancelParent context.CancelCauseFunc, _ context.CancelFunc) { cancelParent(errParent) }, errParent},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			parent, cancelParent := context.WithCancelCause(context.Background())
			defer cancelParent(nil)
			ctx, cancel := limits.Context(parent)
			defer cancel()
			test.end(cancelParent, cancel)
			<-ctx.Done()
			c.Assert(context.Cause(ctx), quicktest.ErrorIs, test.err)
		})
	}
}
