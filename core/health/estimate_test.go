package health

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestIsSuspect(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		estimate Estimate
		after    time.Duration
		want     bool
	}{
		"no-outcomes":         {Estimate{}, 0, false},
		"lost":                {Estimate{}.WithLoss(start), minSuspicion - 1, true},
		"no-longer-suspect":   {Estimate{}.WithLoss(start), minSuspicion, false},
		"lost-twice":          {Estimate{}.WithLoss(start).WithLoss(start.Add(minSuspicion)), 2*minSuspicion + minSuspicion/2, true},
		"lost-while-suspect":  {Estimate{}.WithLoss(start).WithLoss(start), minSuspicion, false},
		"alive-again":         {Estimate{}.WithLoss(start).WithSignOfLife(), 0, false},
		"answered":            {Estimate{}.WithLoss(start).WithSuccess(start, time.Millisecond), 0, false},
		"replaced":            {Estimate{}.WithReplacement(), time.Hour, true},
		"replaced-then-alive": {Estimate{}.WithReplacement().WithSignOfLife(), time.Hour, true},
		"failed-request":      {Estimate{}.WithFailure(start), 0, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, test.estimate.IsSuspect(start.Add(test.after)), quicktest.Equals, test.want)
		})
	}
}

func TestCost(t *testing.T) {
	start := time.Unix(1000, 0)
	healthy := Estimate{}.WithSuccess(start, 20*time.Millisecond)
	failing := healthy.WithFailure(start).WithFailure(start)
	slow := healthy.WithSuccess(start, time.Second)
	cases := map[string]struct {
		cheap, expensive Estimate
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
