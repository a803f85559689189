package filter

import (
	"context"
	"fmt"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/stop"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// stopRetryAfter is the retry delay, at another instance, for a request that a stop has ended before it ran.
const stopRetryAfter = 150 * time.Millisecond

// Stop reports the calls that a stop of the instance ends.
type Stop struct {
	stop *stop.Stop
	log  log.Interface
	set  *metrics.Set
}

var _ chain.Filter = (*Stop)(nil)

// NewStop returns a filter that logs and counts the calls that a stop ends.
func NewStop(s *stop.Stop, logger log.Interface, set *metrics.Set) *Stop {
	return &Stop{stop: s, log: logger, set: set}
}

// Handle passes on the call. It refuses a request that is not whole.
func (s *Stop) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	arrived := time.Now()
	answer := s.answer(ctx, c, next)
	stopped, ok := answer.(chain.Stopped)
	if !ok {
		return answer
	}
	s.report(c, arrived, stopped)
	return stopped.Answer
}

func (s *Stop) answer(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	if _, ok := c.Request.(chain.Unread); ok {
		refusal := deny.New(deny.KindUnavailable, "%v", chain.ErrStopping).WithRetryAfter(stopRetryAfter)
		return chain.Stopped{Answer: chain.Refuse(refusal), Work: chain.Arriving{}}
	}
	return next(ctx, c)
}

// report logs and counts a call that the stop has ended.
func (s *Stop) report(c chain.Call, arrived time.Time, stopped chain.Stopped) {
	now := time.Now()
	period, _ := s.stop.Period()
	state, target := describeWork(stopped.Work)
	s.set.GetOrCreateCounter(fmt.Sprintf(`bramleywharf_requests_ended_at_stop_total{state=%q}`, state)).Inc()
	_, begun := stopped.Answer.(chain.Severed)
	fields := log.Fields{
		"request":    c.ID,
		"state":      state,
		"target":     target,
		"begun":      begun,
		"events":     stopped.Events,
		"stop-ms":    period.Elapsed(now).Milliseconds(),
		"left-ms":    period.Left(now).Milliseconds(),
		"grace-ms":   period.Length().Milliseconds(),
		"arrived-ms": period.Elapsed(arrived).Milliseconds(),
	}
	s.log.WithFields(fields).Warn("request was ended as the instance stops")
}

// describeWork returns the value of the metric label "state" and the target that had the request, if there was one.
func describeWork(w chain.Work) (state, target string) {
	switch w := w.(type) {
	case chain.Arriving:
		return "arriving", ""
	case chain.Rejected:
		return "rejected", ""
	case chain.Between:
		return "between", ""
	case chain.Queued:
		return "queued", w.Target
	case chain.Running:
		return "running", w.Target
	default:
		return "none", ""
	}
}
