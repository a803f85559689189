package link

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestKernelKeepsPeersThatMayBeSilent checks that the kernel waits for a silent peer for as long as it may be silent, and
// not much longer.
func TestKernelKeepsPeersThatMayBeSilent(t *testing.T) {
	cases := map[string]struct {
		bounds   Bounds
		min, max time.Duration
	}{
		"caller-until-its-deadline": {CallerBounds(), 25 * time.Second, 40 * time.Second},
		"target-and-store":          {TargetBounds(), 2 * time.Second, 4 * time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			probes := test.bounds.Probes
			c.Assert(probes.Enable, quicktest.IsTrue)
			waits := map[string]time.Duration{
				"probes":         probes.Idle + time.Duration(probes.Count)*probes.Interval,
				"unacknowledged": test.bounds.Unacknowledged,
			}
			for name, wait := range waits {
				c.Check(wait >= test.min && wait <= test.max, quicktest.IsTrue, quicktest.Commentf("%s: %v", name, wait))
			}
		})
	}
}
