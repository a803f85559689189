package site

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestDepartures(t *testing.T) {
	now := time.Now()
	a := Target{Name: "a", Address: "1", StartID: 7}
	restarted, moved, unknownStart := a, a, a
	restarted.StartID, moved.Address, unknownStart.StartID = 8, "2", 0
	cases := map[string]struct {
		said    Target
		age     time.Duration // age is the time since the target said that it is leaving.
		target  Target
		leaving bool
	}{
		"said-so":                      {a, 0, a, true},
		"before-it-expires":            {a, leavingTTL, a, true},
		"expired":                      {a, leavingTTL + time.Second, a, false},
		"restarted":                    {a, 0, restarted, false},
		"address-of-another":           {a, 0, moved, false},
		"start-is-listed-later":        {unknownStart, 0, a, true},
		"start-was-not-listed-at-once": {a, 0, unknownStart, false},
		"another-target":               {Target{Name: "b", Address: "1", StartID: 7}, 0, a, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			d := Departures{}.WithLeaving(test.said, now.Add(-test.age)).WithEnded([]Target{{Name: "z"}}, now)
			targets := []Target{test.target}
			c.Assert(d.Apply(targets)[0].Leaving, quicktest.Equals, test.leaving)
			c.Assert(targets[0].Leaving, quicktest.IsFalse)
			c.Assert(d.IsLeaving(test.target, now), quicktest.Equals, test.leaving && test.age < leavingRenewal)
			c.Assert(d.HasEnded("z"), quicktest.IsTrue)
			c.Assert(d.WithEnded([]Target{{Name: "y"}}, now.Add(endedTTL+time.Second)).HasEnded("z"), quicktest.IsFalse)
		})
	}
}
