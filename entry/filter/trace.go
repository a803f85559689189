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
	message, special := t.judge(located, answer, took)
	if !special && !t.room() {
		t.skipped.Inc()
		return
	}
	fields := log.Fields{"request": c.ID, "took-ms": took.Milliseconds(), "route": located.Route.Name}
	if located.Site != nil {
		fields["config-version"] = located.Site.Version
		fields["organisation"] = located.Organisation
	}
	line := t.log.WithFields(fields)
	switch a := answer.(type) {
	case chain.Passed:
		line.WithFields(log.Fields{"status": a.Head.Status, "sends": a.Sends, "aim-ms": located.Route.Aim.Milliseconds()}).Info(message)
	case chain.Finished:
		line.WithFields(log.Fields{
			"events":   a.Events,
			"resumed":  a.Resumed,
			"first-ms": a.First.Milliseconds(),
			"pause-ms": a.Pause.Milliseconds(),
		}).Info(message)
	case chain.Severed:
		line.WithField("cause", a.Reason).Warn(message)
	case chain.Refused:
		refused(line, a.Refusal).Info(message)
	default:
		line.Info(message)
	}
}

// judge returns the message for an answer, and whether it always has its line: only calls that went as they should may be left out.
func (t *Trace) judge(c chain.Call, answer chain.Answer, took time.Duration) (message string, special bool) {
	aim := c.Route.Aim
	switch a := answer.(type) {
	case chain.Passed:
		switch {
		case a.Failed():
			return "target's failure passed on", true
		case a.Sends > 1:
			return "answered after a repeat", true
		case aim > 0 && took > aim && !streamed(c):
			return "answered late", true
		}
		return "answered", false
	case chain.Finished:
		stream, _ := c.Route.Repeat.(site.Stream)
		switch {
		case aim > 0 && a.First > aim || stream.Pause > 0 && a.Pause > stream.Pause:
			return "stream finished late", true
		case a.Resumed > 0:
			return "stream finished after it was resumed", true
		}
		return "stream finished", false
	case chain.Severed:
		return "stream severed", true
	case chain.Refused:
		return "refused", true
	default:
		return "caller left", true
	}
}

// room tells whether one more ordinary line may be written in this second.
func (t *Trace) room() bool {
	second := int64(time.Since(t.began) / time.Second)
	if t.second.Swap(second) != second {
		t.lines.Store(0)
	}
	return t.lines.Add(1) <= ordinaryLines
}

// streamed tells whether a call's route is answered by events.
func streamed(c chain.Call) bool {
	_, ok := c.Route.Repeat.(site.Stream)
	return ok
}

// refused adds what a refusal says to a line.
func refused(line *log.Entry, r deny.Refusal) *log.Entry {
	return line.WithFields(log.Fields{
		"refusal":  string(r.Kind),
		"executed": string(r.Executed),
		"cause":    r.Detail,
		"retry-ms": r.RetryAfter.Milliseconds(),
	})
}
