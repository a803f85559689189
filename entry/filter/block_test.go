package filter

import (
	"context"
	"slices"
	"testing"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/taint"
	"bramleywharf.example/entry/chain"
	"github.com/frankban/quicktest"
)

// blockedPart blocks requests with one part.
type blockedPart string

func (p blockedPart) Blocked(parts []string) (taint.Finding, bool) {
	return taint.Finding{Parts: []string{string(p)}, Losses: 4, Requests: 3}, slices.Contains(parts, string(p))
}

// TestBlock checks which requests are refused, and that the refusal promises that they did not run.
func TestBlock(t *testing.T) {
	cases := map[string]struct {
		request chain.Request
		refused bool
	}{
		"first-part":    {chain.Forward{Prompt: chain.Prompt{{ID: "dead"}, {ID: "x"}}}, true},
		"second-part":   {chain.Forward{Prompt: chain.Prompt{{ID: "a"}, {ID: "dead"}, {ID: "x"}}}, true},
		"last-part":     {chain.Forward{Prompt: chain.Prompt{{ID: "a"}, {ID: "dead"}}}, false},
		"other-parts":   {chain.Forward{Prompt: chain.Prompt{{ID: "a"}, {ID: "b"}, {ID: "x"}}}, false},
		"no-prompt":     {chain.Forward{}, false},
		"not-forwarded": {chain.Generate{Prompt: "dead"}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			answer := NewBlock(blockedPart("dead")).Handle(context.Background(), chain.Call{Request: test.request}, func(context.Context, chain.Call) chain.Answer {
				return chain.Finished{}
			})
			refused, ok := answer.(chain.Refused)
			c.Assert(ok, quicktest.Equals, test.refused)
			if ok {
				c.Assert(refused.Refusal.Kind, quicktest.Equals, deny.KindBlocked)
				c.Assert(refused.Refusal.Executed, quicktest.Equals, deny.ExecutedNo)
				c.Assert(refused.Refusal.RetryAfter, quicktest.Equals, blockRetryAfter)
			}
		})
	}
}
