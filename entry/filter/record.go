package filter

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// Record counts calls by request and answer, and turns a panic into a refusal.
type Record struct {
	set       *metrics.Set
	log       log.Interface
	byOutcome sync.Map // byOutcome maps "request/answer" to *outcomeMetrics.
}

// outcomeMetrics holds the metrics of calls with one kind of request and one kind of answer.
type outcomeMetrics struct {
	calls     *metrics.Counter
	durations *metrics.Histogram
}

var _ chain.Filter = (*Record)(nil)

// NewRecord returns a filter that registers its metrics in a set.
func NewRecord(set *metrics.Set, logger log.Interface) *Record {
	return &Record{set: set, log: logger}
}

// Handle passes on the call, then records its answer and duration.
func (r *Record) Handle(ctx context.Context, c chain.Call, next chain.Handler) (answer chain.Answer) {
	start := time.Now()
	defer func() {
		if recovered := recover(); recovered != nil {
			r.log.WithField("request", c.ID).Errorf("panic: %v\n%s", recovered, debug.Stack())
			answer = chain.Refuse(deny.New(deny.KindInternal, "the system failed").WithExecuted(deny.ExecutedUnknown))
		}
		r.observe(c, answer, time.Since(start))
	}()
	return next(ctx, c)
}

// observe adds one call to the metrics.
func (r *Record) observe(c chain.Call, answer chain.Answer, duration time.Duration) {
	requestLabel, answerLabel := requestName(c.Request), answerName(answer)
	key := requestLabel + "/" + answerLabel
	found, ok := r.byOutcome.Load(key)
	if !ok {
		found, _ = r.byOutcome.LoadOrStore(key, &outcomeMetrics{
			calls: r.set.GetOrCreateCounter(
				fmt.Sprintf(`bramleywharf_calls_total{request=%q,answer=%q}`, requestLabel, answerLabel),
			),
			durations: r.set.GetOrCreateHistogram(fmt.Sprintf(`bramleywharf_call_seconds{request=%q}`, requestLabel)),
		})
	}
	found.(*outcomeMetrics).calls.Inc()
	found.(*outcomeMetrics).durations.Update(duration.Seconds())
}

// answerName returns the value of the metric label "answer".
func answerName(a chain.Answer) string {
	switch a := a.(type) {
	case chain.Streamed:
		return "streamed"
	case chain.Whole:
		return "whole"
	case chain.Addresses:
		return "addresses"
	case chain.Passed:
		return "passed"
	case chain.Finished:
		return "finished"
	case chain.Severed:
		return "severed"
	case chain.Left:
		return "left"
	case chain.Refused:
		return "refused-" + string(a.Refusal.Kind)
	default:
		return "none"
	}
}

// requestName returns the value of the metric label "request".
func requestName(r chain.Request) string {
	switch r.(type) {
	case chain.Generate:
		return "generate"
	case chain.Resume:
		return "resume"
	case chain.Invoke:
		return "invoke"
	case chain.Lookup:
		return "lookup"
	case chain.Forward:
		return "forward"
	case chain.Unread:
		return "unread"
	default:
		return "none"
	}
}
