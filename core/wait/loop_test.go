package wait

import (
	"context"
	"testing"

	"github.com/frankban/quicktest"
)

func TestLoop(t *testing.T) {
	cases := map[string]struct {
		run   func(ctx context.Context, ended chan<- struct{})
		close bool // close tells that the loop ends only when it is closed.
	}{
		"ends-by-itself": {run: func(_ context.Context, ended chan<- struct{}) { close(ended) }},
		"until-closed":   {run: func(ctx context.Context, ended chan<- struct{}) { <-ctx.Done(); close(ended) }, close: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			ended := make(chan struct{})
			l := Start(func(ctx context.Context) { test.run(ctx, ended) })
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
			case <-ended:
			default:
				c.Fatal("loop is done before its function has returned")
			}
			l.Close() // Close may be called again.
		})
	}
}
