package health

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestSuspect(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		belief Belief
		after  time.Duration
		want   bool
	}{
		"unknown":          {Belief{}, 0, false},
		"lost":             {Belief{}.WithLoss(start), suspectFirst - 1, true},
		"tried-again":      {Belief{}.WithLoss(start), suspectFirst, false},
		"lost-twice":       {Belief{}.WithLoss(start).WithLoss(start.Add(suspectFirst)), 2*suspectFirst + suspectFirst/2, true},
		"lost-at-once":     {Belief{}.WithLoss(start).WithLoss(start), suspectFirst, false},
		"alive-again":      {Belief{}.WithLoss(start).WithLife(), 0, false},
		"answered":         {Belief{}.WithLoss(start).WithSuccess(start, time.Millisecond), 0, false},
		"ended":            {Belief{}.WithEnd(), time.Hour, true},
		"ended-for-good":   {Belief{}.WithEnd().WithLife(), time.Hour, true},
		"failed-by-itself": {Belief{}.WithFailure(start), 0, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, test.belief.Suspect(start.Add(test.after)), quicktest.Equals, test.want)
		})
	}
}

func TestCost(t *testing.T) {
	start := time.Unix(1000, 0)
	sound := Belief{}.WithSuccess(start, 20*time.Millisecond)
	failing := sound.WithFailure(start).WithFailure(start)
	slow := sound.WithSuccess(start, time.Second)
	cases := map[string]struct {
		cheap, dear Belief
		after       time.Duration
	}{
		"failures":              {sound, failing, 0},
		"latency":               {sound, slow, 0},
		"failures-are-forgiven": {failing.WithSuccess(start, 20*time.Millisecond), failing, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			now := start.Add(test.after)
			quicktest.Assert(t, test.cheap.Cost(now, time.Millisecond) < test.dear.Cost(now, time.Millisecond), quicktest.IsTrue)
		})
	}
	quicktest.Assert(t, failing.Cost(start.Add(20*halfLife), 0)/sound.Cost(start, 0) < 1.01, quicktest.IsTrue)
}
