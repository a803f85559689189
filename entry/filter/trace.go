package filter

import (
	"context"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// ordinaryLinesPerSecond bounds the log lines for ordinary calls, which the first target answered in time without
// failing. All other calls are logged.
const ordinaryLinesPerSecond = 5

// Trace logs one line for each call, except that it samples ordinary calls.
type Trace struct {
	log           log.Interface
	start         time.Time
	second        atomic.Int64 // second is the current second since start.
	ordinaryLines atomic.Int64 // ordinaryLines counts the ordinary calls in this second.
	skipped       *metrics.Counter
}

var _ chain.Filter = (*Trace)(nil)

// NewTrace returns a filter that logs calls and counts the ordinary ones that it skips.
func NewTrace(logger log.Interface, set *metrics.Set) *Trace {
	return &Trace{
		log:     logger,
		start:   time.Now(),
		skipped: set.GetOrCreateCounter("bramleywharf_log_ordinary_skipped_total"),
	}
}

// Handle passes on the call and logs it with its answer.
func (t *Trace) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	start := time.Now()
	var routed chain.Call
	answer := next(context.WithValue(ctx, routedCallKey{}, &routed), c)
	t.logCall(c, routed, answer, time.Since(start))
	return answer
}

// Noted passes the routed call back to the Trace filter, which sees a call only before it is routed.
type Noted struct{}

var _ chain.Filter = Noted{}

// routedCallKey is the context key of the *chain.Call that Noted fills in.
type routedCallKey struct{}

// Handle stores the call for the Trace filter and passes it on.
func (Noted) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	if routed, ok := ctx.Value(routedCallKey{}).(*chain.Call); ok {
		*routed = c
	}
	return next(ctx, c)
}

// logCall logs one call, unless it is ordinary and enough lines were written in this second.
func (t *Trace) logCall(c, routed chain.Call, answer chain.Answer, duration time.Duration) {
	message, always := t.classify(routed, answer, duration)
	if !always && !t.allowsOrdinary() {
		t.skipped.Inc()
		return
	}
	fields := log.Fields{"request": c.ID, "took-ms": duration.Milliseconds(), "route": routed.Route.Name}
	if routed.Site != nil {
		fields["config-version"] = routed.Site.Version
		fields["organisation"] = routed.Organisation
	}
	line := t.log.WithFields(fields)
	switch a := answer.(type) {
	case chain.Passed:
		line.WithFields(log.Fields{
			"status": a.Head.Status,
			"sends":  a.Sends,
			"aim-ms": routed.Route.LatencyGoal.Milliseconds(),
		}).Info(message)
	case chain.Finished:
		line.WithFields(log.Fields{
			"events":   a.Events,
			"resumed":  a.Resumed,
			"first-ms": a.First.Milliseconds(),
			"pause-ms": a.Pause.Milliseconds(),
		}).Info(message)
	case chain.Severed:
		line.WithFields(log.Fields{"cause": a.Reason, "ended-by": string(a.EndedBy)}).Warn(message)
	case chain.Refused:
		withRefusal(line, a.Refusal).Info(message)
	default:
		line.Info(message)
	}
}

// classify returns the log message for an answer, and whether it is always logged because the call is not ordinary.
func (t *Trace) classify(c chain.Call, answer chain.Answer, duration time.Duration) (message string, always bool) {
	goal := c.Route.LatencyGoal
	switch a := answer.(type) {
	case chain.Passed:
		switch {
		case a.Failed():
			return "passed on the target's failure", true
		case a.Sends > 1:
			return "answered after a retry", true
		case goal > 0 && duration > goal && !isStream(c):
			return "answered late", true
		}
		return "answered", false
	case chain.Finished:
		stream, _ := c.Route.RetryPolicy.(site.Stream)
		switch {
		case goal > 0 && a.First > goal || stream.MaxGap > 0 && a.Pause > stream.MaxGap:
			return "stream finished late", true
		case a.Resumed > 0:
			return "stream finished after being resumed", true
		}
		return "stream finished", false
	case chain.Severed:
		return "stream severed", true
	case chain.Refused:
		return "refused", true
	default:
		return "caller disconnected", true
	}
}

// allowsOrdinary counts an ordinary call and reports whether it may be logged in this second.
func (t *Trace) allowsOrdinary() bool {
	second := int64(time.Since(t.start) / time.Second)
	if t.second.Swap(second) != second {
		t.ordinaryLines.Store(0)
	}
	return t.ordinaryLines.Add(1) <= ordinaryLinesPerSecond
}

// isStream reports whether a call's route is answered by a stream of events.
func isStream(c chain.Call) bool {
	_, ok := c.Route.RetryPolicy.(site.Stream)
	return ok
}

// withRefusal adds the fields of a refusal to a log line.
func withRefusal(line *log.Entry, r deny.Refusal) *log.Entry {
	return line.WithFields(log.Fields{
		"refusal":  string(r.Kind),
		"executed": string(r.Executed),
		"cause":    r.Detail,
		"retry-ms": r.RetryAfter.Milliseconds(),
	})
}
