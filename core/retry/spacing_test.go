package retry

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestSpacingGrowsWithRefusals(t *testing.T) {
	cases := map[string]struct {
		refusals int
		want     time.Duration
	}{
		"none":  {0, 0},
		"one":   {1, 200 * time.Millisecond},
		"two":   {2, 400 * time.Millisecond},
		"three": {3, 800 * time.Millisecond},
		"many":  {100, 800 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var s Spacing
			for range test.refusals {
				s = s.WithRefusal()
			}
			quicktest.Assert(t, s.Delay(), quicktest.Equals, test.want)
		})
	}
}
