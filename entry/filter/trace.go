package filter

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// ordinaryLines bounds the lines a second for calls that went as they should; the others always have theirs.
const ordinaryLines = 5

// Trace logs one line for each call, of those that went as they should only a few.
type Trace struct {
	log     log.Interface
	began   time.Time
	second  atomic.Int64
	lines   atomic.Int64
	skipped *metrics.Counter
}

var _ chain.Filter = (*Trace)(nil)

// NewTrace returns a filter that logs calls and counts those it leaves out.
func NewTrace(logger log.Interface, set *metrics.Set) *Trace {
	return &Trace{log: logger, began: time.Now(), skipped: set.GetOrCreateCounter("bramleywharf_log_ordinary_skipped_total")}
}

// Handle logs the call once it is answered.
func (t *Trace) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	began := time.Now()
	var located chain.Call
	answer := next(context.WithValue(ctx, locatedKey{}, &located), c)
	t.note(c, located, answer, time.Since(began))
	return answer
}

// Noted fills in what the trace of a call says of its route.
type Noted struct{}

var _ chain.Filter = Noted{}

// locatedKey finds the call to fill in.
type locatedKey struct{}

// Handle hands the located call to the trace around it.
func (Noted) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	if located, ok := ctx.Value(locatedKey{}).(*chain.Call); ok {
		*located = c
	}
	return next(ctx, c)
}

// note logs one call.
func (t *Trace) note(c, located chain.Call, answer chain.Answer, took time.Duration) {
	fields := log.Fields{"request": c.ID, "took-ms": took.Milliseconds(), "route": located.Route.Name}
	if located.Site != nil {
		fields["config-version"] = located.Site.Version
		fields["organisation"] = located.Organisation
	}
	switch a := answer.(type) {
	case chain.Passed:
		t.answered(fields, located, a, took)
	case chain.Finished:
		t.finished(fields, located, a, took)
	case chain.Severed:
		t.log.WithFields(fields).WithField("cause", a.Reason).Warn("stream severed")
	case chain.Refused:
		t.refused(fields, a.Refusal)
	default:
		t.log.WithFields(fields).Info("caller left")
	}
}

// answered logs a whole answer; a target's failure and an answer that took more than one target always have their line.
func (t *Trace) answered(fields log.Fields, c chain.Call, a chain.Passed, took time.Duration) {
	fields["status"], fields["sends"] = a.Head.Status, a.Sends
	switch {
	case a.Head.Status >= http.StatusInternalServerError:
		t.log.WithFields(fields).Info("target's failure passed on")
	case a.Sends > 1:
		t.log.WithFields(fields).Info("answered after a repeat")
	default:
		t.ordinary(fields, "answered", c, took)
	}
}

// finished logs a whole stream; one that was resumed or late always has its line.
func (t *Trace) finished(fields log.Fields, c chain.Call, a chain.Finished, took time.Duration) {
	fields["events"], fields["resumed"] = a.Events, a.Resumed
	fields["first-ms"], fields["pause-ms"] = a.First.Milliseconds(), a.Pause.Milliseconds()
	stream, _ := c.Route.Repeat.(site.Stream)
	late := c.Route.Aim > 0 && a.First > c.Route.Aim || stream.Pause > 0 && a.Pause > stream.Pause
	switch {
	case late:
		t.log.WithFields(fields).Info("stream finished late")
	case a.Resumed > 0:
		t.log.WithFields(fields).Info("stream finished after it was resumed")
	default:
		t.ordinary(fields, "stream finished", c, took)
	}
}

// ordinary logs a call that went as it should, unless enough such lines were written in this second or it was late.
func (t *Trace) ordinary(fields log.Fields, message string, c chain.Call, took time.Duration) {
	if _, streamed := c.Route.Repeat.(site.Stream); !streamed && c.Route.Aim > 0 && took > c.Route.Aim {
		t.log.WithFields(fields).WithField("aim-ms", c.Route.Aim.Milliseconds()).Info(message + " late")
		return
	}
	second := int64(time.Since(t.began) / time.Second)
	if t.second.Swap(second) != second {
		t.lines.Store(0)
	}
	if t.lines.Add(1) > ordinaryLines {
		t.skipped.Inc()
		return
	}
	t.log.WithFields(fields).Info(message)
}

// refused logs a refusal with its reason.
func (t *Trace) refused(fields log.Fields, r deny.Refusal) {
	t.log.WithFields(fields).WithFields(log.Fields{
		"refusal":  string(r.Kind),
		"executed": string(r.Executed),
		"cause":    r.Detail,
		"retry-ms": r.RetryAfter.Milliseconds(),
	}).Info("refused")
}
