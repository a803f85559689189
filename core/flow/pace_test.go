package flow

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestPace(t *testing.T) {
	// mixed returns the estimate after short pauses and, for every tenth, a long one as while a prompt is read.
	mixed := func(short, long time.Duration) Pace {
		var p Pace
		for i := range 2000 {
			p = p.WithPause(short)
			if i%10 == 0 {
				p = p.WithPause(long)
			}
		}
		return p
	}
	var afterCuts Pace
	for range 6 {
		afterCuts = afterCuts.WithSilence(afterCuts.Cut())
	}
	cases := map[string]struct {
		pace       Pace
		probe, cut [2]time.Duration // least and greatest accepted value
	}{
		"no-samples":      {Pace{}, [2]time.Duration{ProbeSilence, ProbeSilence}, [2]time.Duration{CutSilence, CutSilence}},
		"fast-engines":    {mixed(30*time.Millisecond, 205*time.Millisecond), [2]time.Duration{ProbeSilence, ProbeSilence}, [2]time.Duration{CutSilence, CutSilence}},
		"slow-engines":    {mixed(80*time.Millisecond, 540*time.Millisecond), [2]time.Duration{540 * time.Millisecond, 700 * time.Millisecond}, [2]time.Duration{time.Second, 1300 * time.Millisecond}},
		"repeated-cuts":   {afterCuts, [2]time.Duration{ProbeSilence, MaxSilence}, [2]time.Duration{time.Second, MaxSilence}},
		"very-long-pause": {Pace{}.WithPause(time.Hour), [2]time.Duration{MaxSilence, MaxSilence}, [2]time.Duration{MaxSilence, MaxSilence}},
		"one-cut":         {Pace{}.WithSilence(CutSilence), [2]time.Duration{ProbeSilence, CutSilence}, [2]time.Duration{CutSilence + 1, time.Second}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			c.Assert(test.pace.Probe() >= test.probe[0] && test.pace.Probe() <= test.probe[1], quicktest.IsTrue, quicktest.Commentf("probe after %s", test.pace.Probe()))
			c.Assert(test.pace.Cut() >= test.cut[0] && test.pace.Cut() <= test.cut[1], quicktest.IsTrue, quicktest.Commentf("cut after %s", test.pace.Cut()))
		})
	}
}
