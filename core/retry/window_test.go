package retry

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestWithRepeat(t *testing.T) {
	cases := map[string]struct {
		requests int
		repeats  int
		gap      time.Duration // gap lies between the requests and the repeats.
		bound    Bound
		want     int // want is the number of repeats that pass.
	}{
		"slack-alone":       {0, 5, 0, Bound{Slack: 3}, 3},
		"ratio":             {10, 9, 0, Bound{Ratio: 0.5}, 5},
		"ratio-and-slack":   {10, 20, 0, Bound{Ratio: 0.5, Slack: 2}, 7},
		"within-the-window": {10, 9, 9 * time.Second, Bound{Ratio: 0.5}, 5},
		"after-the-window":  {10, 9, 10 * time.Second, Bound{Ratio: 0.5}, 0},
		"long-after":        {10, 9, time.Hour, Bound{Ratio: 0.5, Slack: 1}, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var w Window
			now := time.Minute
			for range test.requests {
				w = w.WithRequest(now)
			}
			passed := 0
			for range test.repeats {
				next, ok := w.WithRepeat(now+test.gap, test.bound)
				if ok {
					passed++
				}
				w = next
			}
			quicktest.Assert(t, passed, quicktest.Equals, test.want)
			quicktest.Assert(t, w.Left(now+test.gap, test.bound), quicktest.Equals, 0)
		})
	}
}

func TestWithOverdraft(t *testing.T) {
	fleet, own := Bound{Ratio: 0.8, Slack: 150}, Bound{Ratio: 0.6, Slack: 1}
	cases := map[string]struct {
		requests         int
		others, repeated int // others and repeated are the requests and repeats of all others.
		tries            int
		want             int // want is the number of repeats that pass.
	}{
		"fleet-is-idle":       {10, 500, 0, 100, 32},
		"fleet-is-half-used":  {10, 500, 279, 100, 0},
		"fleet-is-close":      {10, 500, 274, 100, 5},
		"nothing-is-known":    {10, 0, 0, 100, 32},
		"no-requests-at-all":  {0, 0, 0, 100, 8},
		"fleet-is-overspent":  {10, 500, 900, 100, 0},
		"less-than-its-share": {10, 500, 0, 3, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var w Window
			for range test.requests {
				w = w.WithRequest(time.Minute)
			}
			passed := 0
			for range test.tries {
				next, ok := w.WithOverdraft(time.Minute, Overdraft{Requests: test.others, Repeats: test.repeated, Fleet: fleet, Own: own})
				if ok {
					passed++
				}
				w = next
			}
			quicktest.Assert(t, passed, quicktest.Equals, test.want)
		})
	}
}
