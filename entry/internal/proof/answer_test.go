package proof

import (
	"testing"
	"testing/synctest"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
	"github.com/frankban/quicktest"
)

// TestOrderAnswers checks what a second call gets after a first one with a key.
func TestOrderAnswers(t *testing.T) {
	type invoke = chain.Invoke
	first := invoke{Service: "orders", Method: "POST", Path: "/orders", Body: []byte("7")}
	cases := map[string]struct {
		issued   bool
		at       string // at is the instance of the second call.
		change   func(i invoke) invoke
		kind     deny.Kind // kind is that of the refusal, or empty for the first answer.
		executed deny.Executed
	}{
		"repeated-at-the-same":        {at: "node-0"},
		"repeated-elsewhere":          {at: "node-1"},
		"issued-repeated-at-the-same": {issued: true, at: "node-0"},
		"issued-repeated-elsewhere":   {issued: true, at: "node-2"},
		"other-body-at-the-same":      {at: "node-0", change: withBody, kind: deny.KindConflict, executed: deny.ExecutedNo},
		"other-body-elsewhere":        {at: "node-1", change: withBody, kind: deny.KindConflict, executed: deny.ExecutedNo},
		"issued-other-body-elsewhere": {issued: true, at: "node-1", change: withBody, kind: deny.KindConflict, executed: deny.ExecutedNo},
		"no-key":                      {at: "node-0", change: func(i invoke) invoke { i.Key = ""; return i }, kind: deny.KindMalformed, executed: deny.ExecutedNo},
		"forged-issued-key":           {at: "node-0", change: func(i invoke) invoke { i.Key = "bw1.AAAA"; return i }, kind: deny.KindMalformed, executed: deny.ExecutedNo},
		"unknown-service":             {at: "node-0", change: func(i invoke) invoke { i.Service = "x"; return i }, kind: deny.KindUnknown, executed: deny.ExecutedNo},
		"undeclared-post-needs-a-key": {at: "node-0", change: func(i invoke) invoke { i.Key, i.Path = "", "/x"; return i }, kind: deny.KindMalformed, executed: deny.ExecutedNo},
		"marked-by-the-caller":        {at: "node-0", change: func(i invoke) invoke { i.Key, i.Method, i.NonIdempotent = "", "GET", true; return i }, kind: deny.KindMalformed, executed: deny.ExecutedNo},
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
				call := func(at string, r invoke) chain.Answer {
					return w.nodes[at].Handle(w.life, chain.Call{ID: "x", Credential: "key", Request: r})
				}
				answer := call("node-0", request)
				c.Assert(answer, quicktest.Satisfies, func(a chain.Answer) bool { _, ok := a.(chain.Whole); return ok })
				second := request
				if test.change != nil {
					second = test.change(second)
				}
				got := call(test.at, second)
				if test.kind == "" {
					c.Assert(got, quicktest.DeepEquals, answer)
				} else {
					refused, ok := got.(chain.Refused)
					c.Assert(ok, quicktest.IsTrue)
					c.Assert(refused.Refusal.Kind, quicktest.Equals, test.kind)
					c.Assert(refused.Refusal.Executed, quicktest.Equals, test.executed)
				}
				c.Assert(w.executions(request.Key), quicktest.Equals, 1)
			})
		})
	}
}

// withBody returns a call with another body.
func withBody(i chain.Invoke) chain.Invoke {
	i.Body = []byte("8")
	return i
}
