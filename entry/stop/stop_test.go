package stop

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestCuts guards against requests that are held for too long for a stop that does not end them, or that has not begun.
func TestCuts(t *testing.T) {
	const length, period = 5 * time.Second, 8 * time.Second
	cases := map[string]struct {
		running  bool          // running tells that no signal has come.
		route    string        // route is that of the request; only "known" has finished ones.
		after    time.Duration // after is the time from the signal until now.
		taken    time.Duration
		deadline time.Duration // deadline is the time left to the caller, or 0 for a long one.
		want     bool
	}{
		"running":                {running: true, route: "known"},
		"in-time":                {route: "known", after: 2 * time.Second},
		"too-late":               {route: "known", after: 3 * time.Second, want: true},
		"too-late-but-begun":     {route: "known", after: 3 * time.Second, taken: 3 * time.Second},
		"too-late-for-the-begun": {route: "known", after: 6 * time.Second, taken: 3 * time.Second, want: true},
		"expires-before-the-end": {route: "known", after: 3 * time.Second, deadline: 4 * time.Second},
		"expires-after-the-end":  {route: "known", after: 3 * time.Second, deadline: 5 * time.Second, want: true},
		"unknown-route":          {route: "other", after: 7 * time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Settings{Grace: func() time.Duration { return period }, Elsewhere: func() bool { return true }})
				for range 10 {
					s.Learn("known", length)
				}
				if !test.running {
					s.Begin(time.Now())
				}
				time.Sleep(test.after)
				now := time.Now()
				deadline := now.Add(time.Minute)
				if test.deadline > 0 {
					deadline = now.Add(test.deadline)
				}
				quicktest.Assert(t, s.Cuts(test.route, now.Add(-test.taken), deadline), quicktest.Equals, test.want)
			})
		})
	}
}
