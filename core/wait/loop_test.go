package wait

import (
	"context"
	"testing"

	"github.com/frankban/quicktest"
)

func TestLoop(t *testing.T) {
	cases := map[string]struct {
		run   func(ctx context.Context, step chan<- struct{})
		close bool // close tells that the loop does not end by itself.
	}{
		"ends-by-itself": {run: func(_ context.Context, step chan<- struct{}) { close(step) }},
		"until-closed":   {run: func(ctx context.Context, step chan<- struct{}) { <-ctx.Done(); close(step) }, close: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			step := make(chan struct{})
			l := Start(func(ctx context.Context) { test.run(ctx, step) })
			if test.close {
				select {
				case <-l.Done():
					c.Fatal("loop ended before it was closed")
				default:
				}
				l.Close()
			}
			<-l.Done()
			select {
			case <-step:
			default:
				c.Fatal("loop is done before its last step")
			}
			l.Close() // A loop may be closed again.
		})
	}
}
