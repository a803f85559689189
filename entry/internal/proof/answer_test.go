package proof

import (
	"testing"
	"testing/synctest"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
	"github.com/frankban/quicktest"
)

// TestOrderAnswers checks the answer to a second call of a service after a first one with an idempotency key.
func TestOrderAnswers(t *testing.T) {
	type invoke = chain.Invoke
	first := invoke{Service: "orders", Method: "POST", Path: "/orders", Body: []byte("7")}
	cases := map[string]struct {
		issued       bool                  // The key is issued by an instance instead of chosen by the caller.
		node         string                // The instance that gets the second call.
		change       func(i invoke) invoke // Changes the second call, or is nil.
		wantKind     deny.Kind             // Kind of the refusal, or empty if the first answer is repeated.
		wantExecuted deny.Executed
	}{
		"repeated-at-the-same-instance":        {node: "node-0"},
		"repeated-elsewhere":                   {node: "node-1"},
		"issued-repeated-at-the-same-instance": {issued: true, node: "node-0"},
		"issued-repeated-elsewhere":            {issued: true, node: "node-2"},
		"other-body-at-the-same-instance":      {node: "node-0", change: withOtherBody, wantKind: deny.KindConflict, wantExecuted: deny.ExecutedNo},
		"other-body-elsewhere":                 {node: "node-1", change: withOtherBody, wantKind: deny.KindConflict, wantExecuted: deny.ExecutedNo},
		"issued-other-body-elsewhere":          {issued: true, node: "node-1", change: withOtherBody, wantKind: deny.KindConflict, wantExecuted: deny.ExecutedNo},
		"no-key":                               {node: "node-0", change: func(i invoke) invoke { i.Key = ""; return i }, wantKind: deny.KindMalformed, wantExecuted: deny.ExecutedNo},
		"forged-issued-key":                    {node: "node-0", change: func(i invoke) invoke { i.Key = "bw1.AAAA"; return i }, wantKind: deny.KindMalformed, wantExecuted: deny.ExecutedNo},
		"unknown-service":                      {node: "node-0", change: func(i invoke) invoke { i.Service = "x"; return i }, wantKind: deny.KindUnknown, wantExecuted: deny.ExecutedNo},
		"undeclared-post-without-a-key":        {node: "node-0", change: func(i invoke) invoke { i.Key, i.Path = "", "/x"; return i }, wantKind: deny.KindMalformed, wantExecuted: deny.ExecutedNo},
		"marked-non-idempotent-by-the-caller":  {node: "node-0", change: func(i invoke) invoke { i.Key, i.Method, i.NonIdempotent = "", "GET", true; return i }, wantKind: deny.KindMalformed, wantExecuted: deny.ExecutedNo},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				w := newWorld(t, 3, 1, "latency")
				defer w.close()
				request := first
				request.Key = "key-1"
				if test.issued {
					key, err := w.nodes["node-0"].Issuer.Issue("org")
					c.Assert(err, quicktest.IsNil)
					request.Key = key
				}
				call := func(node string, r invoke) chain.Answer {
					return w.nodes[node].Handle(w.runCtx, chain.Call{ID: "x", Credential: "key", Request: r})
				}
				firstAnswer := call("node-0", request)
				c.Assert(firstAnswer, quicktest.Satisfies, func(a chain.Answer) bool { _, ok := a.(chain.Whole); return ok })
				second := request
				if test.change != nil {
					second = test.change(second)
				}
				got := call(test.node, second)
				if test.wantKind == "" {
					c.Assert(got, quicktest.DeepEquals, firstAnswer)
				} else {
					refused, ok := got.(chain.Refused)
					c.Assert(ok, quicktest.IsTrue)
					c.Assert(refused.Refusal.Kind, quicktest.Equals, test.wantKind)
					c.Assert(refused.Refusal.Executed, quicktest.Equals, test.wantExecuted)
				}
				c.Assert(w.executions(request.Key), quicktest.Equals, 1)
			})
		})
	}
}

// withOtherBody returns the call with a body that differs from the first.
func withOtherBody(i chain.Invoke) chain.Invoke {
	i.Body = []byte("8")
	return i
}
