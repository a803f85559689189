package flight

import (
	"context"
	"testing"

	"bramleywharf.example/entry/chain"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// TestOwnDecisionIsToldFromTarget checks that an attempt that this instance ended is not attributed to its target.
func TestOwnDecisionIsToldFromTarget(t *testing.T) {
	broken := errors.New("unexpected EOF")
	cases := map[string]struct {
		cancelled error // cancelled is the error with which the attempt was cancelled, or nil.
		want      outcome
	}{
		"broken-off": {nil, interrupted{cause: broken.Error(), endedBy: chain.EndedByTarget}},
		"silence":    {errStalled, interrupted{cause: errStalled.Error(), endedBy: chain.EndedBySilence}},
		"probe":      {errUnreachable, interrupted{cause: errUnreachable.Error(), endedBy: chain.EndedByProbe}},
		"report":     {errStreamLost, interrupted{cause: errStreamLost.Error(), endedBy: chain.EndedByReport}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			if test.cancelled != nil {
				cancel(test.cancelled)
			}
			quicktest.Assert(t, interruptedBy(ctx, broken), quicktest.Equals, test.want)
		})
	}
}
