package flow

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestPace(t *testing.T) {
	// mixed returns the pace of streams of which one event in ten comes beside a prompt that is being read.
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
	var slow Pace
	for range 6 {
		slow = slow.WithSilence(slow.Cut())
	}
	cases := map[string]struct {
		pace       Pace
		probe, cut [2]time.Duration // probe and cut are bounds of each.
	}{
		"unknown":        {Pace{}, [2]time.Duration{ProbeSilence, ProbeSilence}, [2]time.Duration{CutSilence, CutSilence}},
		"fast-engines":   {mixed(30*time.Millisecond, 205*time.Millisecond), [2]time.Duration{ProbeSilence, ProbeSilence}, [2]time.Duration{CutSilence, CutSilence}},
		"slow-engines":   {mixed(80*time.Millisecond, 540*time.Millisecond), [2]time.Duration{540 * time.Millisecond, 700 * time.Millisecond}, [2]time.Duration{time.Second, 1300 * time.Millisecond}},
		"always-silent":  {slow, [2]time.Duration{ProbeSilence, MaxSilence}, [2]time.Duration{time.Second, MaxSilence}},
		"very-long":      {Pace{}.WithPause(time.Hour), [2]time.Duration{MaxSilence, MaxSilence}, [2]time.Duration{MaxSilence, MaxSilence}},
		"learns-by-cuts": {Pace{}.WithSilence(CutSilence), [2]time.Duration{ProbeSilence, CutSilence}, [2]time.Duration{CutSilence + 1, time.Second}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			c.Assert(test.pace.Probe() >= test.probe[0] && test.pace.Probe() <= test.probe[1], quicktest.IsTrue, quicktest.Commentf("probe after %s", test.pace.Probe()))
			c.Assert(test.pace.Cut() >= test.cut[0] && test.pace.Cut() <= test.cut[1], quicktest.IsTrue, quicktest.Commentf("cut after %s", test.pace.Cut()))
		})
	}
}
