package flow

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestPauseTimeouts(t *testing.T) {
	// mixed returns the estimate after short pauses and, for every tenth, a long one as while a prompt is read.
	mixed := func(short, long time.Duration) PauseEstimate {
		var p PauseEstimate
		for i := range 2000 {
			p = p.WithPause(short)
			if i%10 == 0 {
				p = p.WithPause(long)
			}
		}
		return p
	}
	var afterCuts PauseEstimate
	for range 6 {
		afterCuts = afterCuts.WithCut(afterCuts.CutTimeout())
	}
	cases := map[string]struct {
		estimate   PauseEstimate
		probe, cut [2]time.Duration // least and greatest accepted value
	}{
		"no-samples":      {PauseEstimate{}, [2]time.Duration{MinProbeTimeout, MinProbeTimeout}, [2]time.Duration{MinCutTimeout, MinCutTimeout}},
		"fast-engines":    {mixed(30*time.Millisecond, 205*time.Millisecond), [2]time.Duration{MinProbeTimeout, MinProbeTimeout}, [2]time.Duration{MinCutTimeout, MinCutTimeout}},
		"slow-engines":    {mixed(80*time.Millisecond, 540*time.Millisecond), [2]time.Duration{540 * time.Millisecond, 700 * time.Millisecond}, [2]time.Duration{time.Second, 1300 * time.Millisecond}},
		"repeated-cuts":   {afterCuts, [2]time.Duration{MinProbeTimeout, MaxSilenceTimeout}, [2]time.Duration{time.Second, MaxSilenceTimeout}},
		"very-long-pause": {PauseEstimate{}.WithPause(time.Hour), [2]time.Duration{MaxSilenceTimeout, MaxSilenceTimeout}, [2]time.Duration{MaxSilenceTimeout, MaxSilenceTimeout}},
		"one-cut":         {PauseEstimate{}.WithCut(MinCutTimeout), [2]time.Duration{MinProbeTimeout, MinCutTimeout}, [2]time.Duration{MinCutTimeout + 1, time.Second}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			c.Assert(test.estimate.ProbeTimeout() >= test.probe[0] && test.estimate.ProbeTimeout() <= test.probe[1], quicktest.IsTrue, quicktest.Commentf("probe after %s", test.estimate.ProbeTimeout()))
			c.Assert(test.estimate.CutTimeout() >= test.cut[0] && test.estimate.CutTimeout() <= test.cut[1], quicktest.IsTrue, quicktest.Commentf("cut after %s", test.estimate.CutTimeout()))
		})
	}
}
