package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/frankban/quicktest"
)

func TestTrace(t *testing.T) {
	plain := site.Route{Name: "plain", RetryPolicy: site.Idempotent{}, LatencyGoal: 100 * time.Millisecond}
	stream := site.Route{Name: "stream", RetryPolicy: site.Stream{MaxGap: 700 * time.Millisecond}, LatencyGoal: time.Second}
	const calls = 40
	cases := map[string]struct {
		route  site.Route
		answer chain.Answer
		delay  time.Duration
		lines  int // lines is the number of lines for 40 calls in one second.
	}{
		"ordinary-answers-are-sampled": {
			route: plain, answer: chain.Passed{Head: chain.Head{Status: 200}, Sends: 1}, lines: ordinaryLinesPerSecond,
		},
		"ordinary-streams-are-sampled": {
			route: stream, answer: chain.Finished{Events: 3}, lines: ordinaryLinesPerSecond,
		},
		"client-errors-are-sampled": {
			route: plain, answer: chain.Passed{Head: chain.Head{Status: 404}, Sends: 1}, lines: ordinaryLinesPerSecond,
		},
		"target-failures-are-logged": {
			route: plain, answer: chain.Passed{Head: chain.Head{Status: 500}, Sends: 1}, lines: calls,
		},
		"retried-answers-are-logged": {
			route: plain, answer: chain.Passed{Head: chain.Head{Status: 200}, Sends: 2}, lines: calls,
		},
		"late-answers-are-logged": {
			route:  plain,
			answer: chain.Passed{Head: chain.Head{Status: 200}, Sends: 1},
			delay:  101 * time.Millisecond,
			lines:  calls,
		},
		"resumed-streams-are-logged": {route: stream, answer: chain.Finished{Resumed: 1}, lines: calls},
		"late-streams-are-logged": {
			route: stream, answer: chain.Finished{First: 1100 * time.Millisecond}, lines: calls,
		},
		"paused-streams-are-logged": {
			route: stream, answer: chain.Finished{Pause: 800 * time.Millisecond}, lines: calls,
		},
		"severed-streams-are-logged": {route: stream, answer: chain.Severed{Reason: "cut"}, lines: calls},
		"refusals-are-logged": {
			route: plain, answer: chain.Refuse(deny.New(deny.KindUnavailable, "full")), lines: calls,
		},
		"disconnects-are-logged": {route: plain, answer: chain.Left{}, lines: calls},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				handler := memory.New()
				set := metrics.NewSet()
				trace := NewTrace(&log.Logger{Handler: handler, Level: log.InfoLevel}, set)
				forward := chain.Build(func(context.Context, chain.Call) chain.Answer {
					time.Sleep(test.delay)
					return test.answer
				}, trace, fixedRoute(test.route), Noted{})
				for range calls {
					if test.delay == 0 {
						time.Sleep(10 * time.Millisecond)
					}
					c.Assert(forward(t.Context(), chain.Call{ID: "id"}), quicktest.DeepEquals, test.answer)
				}
				c.Assert(handler.Entries, quicktest.HasLen, test.lines)
				for _, line := range handler.Entries {
					c.Assert(line.Fields["request"], quicktest.Equals, "id")
					c.Assert(line.Fields["route"], quicktest.Equals, test.route.Name)
				}
				skipped := set.GetOrCreateCounter("bramleywharf_log_ordinary_skipped_total").Get()
				c.Assert(skipped, quicktest.Equals, uint64(calls-test.lines))
			})
		})
	}
}

// fixedRoute is a filter that routes all calls to one route.
type fixedRoute site.Route

// Handle passes on the call with the route.
func (r fixedRoute) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	return next(ctx, c.WithRoute(nil, site.Route(r)))
}
