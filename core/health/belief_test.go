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
		"no-outcomes":         {Belief{}, 0, false},
		"lost":                {Belief{}.WithLoss(start), minSuspicion - 1, true},
		"no-longer-suspect":   {Belief{}.WithLoss(start), minSuspicion, false},
		"lost-twice":          {Belief{}.WithLoss(start).WithLoss(start.Add(minSuspicion)), 2*minSuspicion + minSuspicion/2, true},
		"lost-while-suspect":  {Belief{}.WithLoss(start).WithLoss(start), minSuspicion, false},
		"alive-again":         {Belief{}.WithLoss(start).WithLife(), 0, false},
		"answered":            {Belief{}.WithLoss(start).WithSuccess(start, time.Millisecond), 0, false},
		"replaced":            {Belief{}.WithEnd(), time.Hour, true},
		"replaced-then-alive": {Belief{}.WithEnd().WithLife(), time.Hour, true},
		"failed-request":      {Belief{}.WithFailure(start), 0, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, test.belief.Suspect(start.Add(test.after)), quicktest.Equals, test.want)
		})
	}
}

func TestCost(t *testing.T) {
	start := time.Unix(1000, 0)
	healthy := Belief{}.WithSuccess(start, 20*time.Millisecond)
	failing := healthy.WithFailure(start).WithFailure(start)
	slow := healthy.WithSuccess(start, time.Second)
	cases := map[string]struct {
		cheap, expensive Belief
		after            time.Duration
	}{
		"failures":               {healthy, failing, 0},
		"latency":                {healthy, slow, 0},
		"success-after-failures": {failing.WithSuccess(start, 20*time.Millisecond), failing, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			now := start.Add(test.after)
			quicktest.Assert(t, test.cheap.Cost(now, time.Millisecond) < test.expensive.Cost(now, time.Millisecond), quicktest.IsTrue)
		})
	}
	quicktest.Assert(t, failing.Cost(start.Add(20*failureHalfLife), 0)/healthy.Cost(start, 0) < 1.01, quicktest.IsTrue)
}
