package retry

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestSilentAttemptEndsOnlyForOneThatWorks(t *testing.T) {
	unheard := Withdraw{Reason: "the other target does not say whether it has begun"}
	cases := map[string]struct {
		silent Doubt
		other  OfferState
		want   OverlapStep
	}{
		"waits-other-works":        {Waits{}, Working{}, Replace{}},
		"waits-other-too":          {Waits{}, Queued{}, Withdraw{Reason: "requests wait at the other target too"}},
		"waits-other-unlisted":     {Waits{}, Unlisted{}, Overlap{}},
		"waits-other-unheard":      {Waits{}, Unheard{}, unheard},
		"stalled-other-works":      {Stalled{}, Working{}, Replace{}},
		"stalled-other-queues":     {Stalled{}, Queued{}, Overlap{}},
		"stalled-other-unlisted":   {Stalled{}, Unlisted{}, Overlap{}},
		"stalled-other-reports-no": {Stalled{}, Unreported{}, Replace{}},
		"stalled-other-unheard":    {Stalled{}, Unheard{}, unheard},
		"lost-other-works":         {Lost{}, Working{}, Replace{}},
		"lost-other-queues":        {Lost{}, Queued{}, Overlap{}},
		"lost-other-unlisted":      {Lost{}, Unlisted{}, Overlap{}},
		"lost-other-unheard":       {Lost{}, Unheard{}, Overlap{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, DecideOverlap(test.silent, test.other), quicktest.Equals, test.want)
		})
	}
}
