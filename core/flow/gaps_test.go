package flow

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestGapTimeout(t *testing.T) {
	cases := map[string]struct {
		gaps    []time.Duration
		atLeast time.Duration
		atMost  time.Duration
	}{
		"no-samples": {atLeast: MaxTokenTimeout, atMost: MaxTokenTimeout},
		"steady":     {gaps: repeat(47*time.Millisecond, 50), atLeast: MinTokenTimeout, atMost: 2 * MinTokenTimeout},
		"slow":       {gaps: repeat(2*time.Second, 20), atLeast: MaxTokenTimeout, atMost: MaxTokenTimeout},
		"jitter":     {gaps: append(repeat(20*time.Millisecond, 20), 120*time.Millisecond), atLeast: 200 * time.Millisecond, atMost: MaxTokenTimeout},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var g GapEstimate
			for _, gap := range test.gaps {
				g = g.WithGap(gap)
			}
			c.Assert(g.Timeout() >= test.atLeast && g.Timeout() <= test.atMost, quicktest.IsTrue, quicktest.Commentf("%s", g.Timeout()))
		})
	}
}

// repeat returns count copies of a gap.
func repeat(gap time.Duration, count int) []time.Duration {
	gaps := make([]time.Duration, count)
	for i := range gaps {
		gaps[i] = gap
	}
	return gaps
}
