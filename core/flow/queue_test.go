package flow

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestQueueWait(t *testing.T) {
	const readTime = 2 * time.Second
	type report struct {
		at      time.Duration
		mayWait bool
		load    Load
	}
	busy, busier := Load{Waiting: 1, Events: 5}, Load{Waiting: 1, Events: 9}
	cases := map[string]struct {
		reports  []report
		at       time.Duration
		hasBegun bool
		want     bool
	}{
		"not-asked":             {nil, time.Second, false, false},
		"waits":                 {[]report{{time.Second, true, busy}}, time.Second, false, true},
		"not-in-the-queue":      {[]report{{time.Second, false, busy}}, time.Second, false, false},
		"queue-moves":           {[]report{{time.Second, true, busy}, {4 * time.Second, true, busier}}, 6 * time.Second, false, true},
		"queue-does-not-move":   {[]report{{time.Second, true, busy}, {4 * time.Second, true, busy}}, 4 * time.Second, false, false},
		"prompt-is-being-read":  {[]report{{time.Second, true, busy}, {2 * time.Second, false, busier}}, 2 * time.Second, false, true},
		"prompt-is-read-by-now": {[]report{{time.Second, true, busy}, {2 * time.Second, false, busier}}, 3 * time.Second, false, false},
		"waits-for-too-long":    {[]report{{time.Second, true, busy}, {9 * time.Second, true, busier}}, 11 * time.Second, false, false},
		"between-events":        {[]report{{time.Second, true, busy}}, 4 * time.Second, true, true},
		"too-long-for-a-pause":  {[]report{{time.Second, true, busy}, {4 * time.Second, true, busier}}, 5 * time.Second, true, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var q QueueWait
			for _, r := range test.reports {
				q = q.WithReport(r.at, r.mayWait, r.load)
			}
			quicktest.Assert(t, q.Explains(test.at, readTime, test.hasBegun), quicktest.Equals, test.want)
		})
	}
}
