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

// Record counts calls and answers, and turns a panic into a refusal.
type Record struct {
	set    *metrics.Set
	log    log.Interface
	totals sync.Map // totals holds a *total by request and answer, as their names joined.
}

// total holds the metrics of one kind of request that ended with one kind of answer.
type total struct {
	calls *metrics.Counter
	times *metrics.Histogram
}

var _ chain.Filter = (*Record)(nil)

// NewRecord returns a filter that counts into a set.
func NewRecord(set *metrics.Set, logger log.Interface) *Record {
	return &Record{set: set, log: logger}
}

// Handle counts the call and its answer.
func (r *Record) Handle(ctx context.Context, c chain.Call, next chain.Handler) (answer chain.Answer) {
	began := time.Now()
	defer func() {
		if fault := recover(); fault != nil {
			r.log.WithField("request", c.ID).Errorf("panic: %v\n%s", fault, debug.Stack())
			answer = chain.Refuse(deny.New(deny.KindInternal, "the system failed").WithExecuted(deny.ExecutedUnknown))
		}
		r.count(c, answer, time.Since(began))
	}()
	return next(ctx, c)
}

// count adds one answered call to the metrics.
func (r *Record) count(c chain.Call, answer chain.Answer, took time.Duration) {
	request, answered := requestName(c.Request), answerName(answer)
	key := request + "/" + answered
	found, ok := r.totals.Load(key)
	if !ok {
		found, _ = r.totals.LoadOrStore(key, &total{
			calls: r.set.GetOrCreateCounter(fmt.Sprintf(`bramleywharf_calls_total{request=%q,answer=%q}`, request, answered)),
			times: r.set.GetOrCreateHistogram(fmt.Sprintf(`bramleywharf_call_seconds{request=%q}`, request)),
		})
	}
	found.(*total).calls.Inc()
	found.(*total).times.Update(took.Seconds())
}

// answerName names an answer in metrics.
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

// requestName names a request in metrics.
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
	default:
		return "none"
	}
}
