package retry

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestWithRetry(t *testing.T) {
	cases := map[string]struct {
		requests int
		retries  int
		delay    time.Duration // between the requests and the retries
		bound    Bound
		want     int // number of retries allowed
	}{
		"slack-only":        {0, 5, 0, Bound{Slack: 3}, 3},
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
			allowed := 0
			for range test.retries {
				next, ok := w.WithRetry(now+test.delay, test.bound)
				if ok {
					allowed++
				}
				w = next
			}
			quicktest.Assert(t, allowed, quicktest.Equals, test.want)
			quicktest.Assert(t, w.RetriesLeft(now+test.delay, test.bound), quicktest.Equals, 0)
		})
	}
}

func TestWithOverdraft(t *testing.T) {
	fleet, own := Bound{Ratio: 0.8, Slack: 150}, Bound{Ratio: 0.6, Slack: 1}
	cases := map[string]struct {
		requests                    int
		otherRequests, otherRetries int // of all other instances
		tries                       int
		want                        int // number of retries allowed
	}{
		"fleet-is-idle":            {10, 500, 0, 100, 32},
		"fleet-is-half-used":       {10, 500, 279, 100, 0},
		"fleet-is-just-below-half": {10, 500, 274, 100, 5},
		"no-reports":               {10, 0, 0, 100, 32},
		"no-requests-at-all":       {0, 0, 0, 100, 8},
		"fleet-is-over-its-bound":  {10, 500, 900, 100, 0},
		"few-tries":                {10, 500, 0, 3, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var w Window
			for range test.requests {
				w = w.WithRequest(time.Minute)
			}
			allowed := 0
			for range test.tries {
				next, ok := w.WithOverdraft(time.Minute, Overdraft{Requests: test.otherRequests, Retries: test.otherRetries, Fleet: fleet, Own: own})
				if ok {
					allowed++
				}
				w = next
			}
			quicktest.Assert(t, allowed, quicktest.Equals, test.want)
		})
	}
}

func TestWithoutRetry(t *testing.T) {
	bound := Bound{Slack: 3}
	cases := map[string]struct {
		retries  int
		returned int
		delay    time.Duration // between the retries and their return
		want     int           // number of retries left
	}{
		"same-second":         {2, 1, 0, 2},
		"later-second":        {2, 1, 4 * time.Second, 2},
		"none-to-return":      {0, 1, 0, 3},
		"more-than-there-are": {1, 3, 0, 3},
		"after-the-window":    {2, 1, time.Minute, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var w Window
			for range test.retries {
				w, _ = w.WithRetry(time.Minute, bound)
			}
			for range test.returned {
				w = w.WithoutRetry(time.Minute + test.delay)
			}
			quicktest.Assert(t, w.RetriesLeft(time.Minute+test.delay, bound), quicktest.Equals, test.want)
		})
	}
}
