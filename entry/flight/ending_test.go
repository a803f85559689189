package flight

import (
	"testing"

	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/guard"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// TestOwnDecisionIsToldFromTarget checks that an attempt that this instance ended is not attributed to its target.
func TestOwnDecisionIsToldFromTarget(t *testing.T) {
	broken := errors.New("unexpected EOF")
	cases := map[string]struct {
		err  error
		want outcome
	}{
		"broken-off": {broken, interrupted{cause: broken.Error(), endedBy: chain.EndedByTarget}},
		"silence":    {guard.ErrStalled, interrupted{cause: guard.ErrStalled.Error(), endedBy: chain.EndedBySilence}},
		"probe":      {guard.ErrUnreachable, interrupted{cause: guard.ErrUnreachable.Error(), endedBy: chain.EndedByProbe}},
		"report":     {guard.ErrStreamLost, interrupted{cause: guard.ErrStreamLost.Error(), endedBy: chain.EndedByReport}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, interruptedBy(test.err), quicktest.Equals, test.want)
		})
	}
}
