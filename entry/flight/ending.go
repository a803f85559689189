package flight

import (
	"context"
	"strings"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/guard"
	"bramleywharf.example/entry/offer"
	"bramleywharf.example/entry/send"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

// settle records how an attempt ended. It returns the answer to the caller and true, or nil and false if the stream may
// go on.
func (s *stream) settle(ctx context.Context, a *attempt, result outcome) (chain.Answer, bool) {
	s.uncount(a, result)
	s.replicas.Discard(a.replica)
	if _, done := result.(completed); !done && ctx.Err() != nil {
		s.mayHaveRun = s.mayHaveRun || mayHaveRun(result) || s.current != nil
		return s.giveUp(ctx, s.work(a, result), "time is up"), true
	}
	switch r := result.(type) {
	case completed:
		if s.resumeCount == 0 {
			s.sender.Queue.Learn(s.service, time.Since(a.startedAt), s.request.Prompt.Tokens())
		}
		return chain.Finished{Events: s.timing.Events, Resumed: s.resumeCount, First: s.timing.First, Pause: s.timing.Longest}, true
	case wholeResponse:
		if !s.head.IsSent() && !(r.response.Failed() && s.policy.Resumable) {
			return r.response, true
		}
		a.pick.Failed()
		s.failedResponse = &r.response
	case callerGone:
		return chain.Left{}, true
	case expired:
		return send.Unknown(deny.KindTimeout, "no event in time"), true
	case notRun:
		s.settleRefusal(a, r)
	case interrupted:
		s.endedBy = r.endedBy
		s.sender.Counts.Endings[r.endedBy].Inc()
		if r.endedBy != chain.EndedByQueue {
			a.pick.Lost(r.cause)
		}
		if r.atBegin {
			s.begins.BrokenOff(ctx, a.pick.Target)
		} else if r.endedBy == chain.EndedByTarget {
			s.sender.NoteCrash(ctx, a.pick.Target)
		}
	}
	s.avoid(a.pick.Target)
	s.mayHaveRun = s.mayHaveRun || mayHaveRun(result)
	s.logOutcome(a, result)
	return nil, false
}

// uncount takes back the count of an attempt whose target did not receive the request, and keeps its retry for another.
func (s *stream) uncount(a *attempt, result outcome) {
	r, ok := result.(notRun)
	if !ok || r.received && !r.misdirected {
		return
	}
	s.unsentCount++
	if a.isCounted {
		s.sendCount--
	}
	if !r.received {
		s.reservation.Restore(a.isRepeat)
	}
}

// settleRefusal records that a target could not be reached or refused the stream without running it.
func (s *stream) settleRefusal(a *attempt, r notRun) {
	if !r.received {
		a.pick.Lost(r.cause)
		return
	}
	a.pick.Failed()
	if !r.misdirected && !r.unmet {
		s.refusers = s.refusers.With(a.pick.Target)
	}
}

// mayHaveRun reports whether a target may have run the request in an attempt.
func mayHaveRun(result outcome) bool {
	_, didNotRun := result.(notRun)
	return !didNotRun
}

// retryOrFinish returns nil and false if the stream may go on at another target after its last open attempt has ended,
// otherwise its final answer and true.
func (s *stream) retryOrFinish(ctx context.Context, result outcome) (chain.Answer, bool) {
	if r, ok := result.(notRun); ok && (!r.received || r.misdirected) && s.unsentCount <= maxUnsent && (!r.misdirected || s.Reserve()) {
		return nil, false
	}
	reason := ""
	switch {
	case s.mayHaveRun && !s.policy.Resumable:
		reason = "its target failed and it may not be resumed"
	case !s.events.IsOrdered():
		reason = "its target failed and its events have no numbers to resume after"
	case !s.hasAttemptsLeft() && !s.mayAskRefusers():
		reason = "its attempts are used up"
	case s.begins.Exhausted(ctx):
		reason = send.CrashReason
	case !s.Reserve():
		reason = "the retry bound is reached"
	default:
		s.waitAfterRefusal(ctx, result)
		return nil, false
	}
	return s.finalAnswer(reason), true
}

// finalAnswer returns the answer of a stream that does not go on at another target.
func (s *stream) finalAnswer(reason string) chain.Answer {
	switch {
	case s.head.IsSent():
		s.sender.Counts.Severed.Inc()
		return chain.Severed{Reason: reason, EndedBy: s.endedBy}
	case s.failedResponse != nil:
		return *s.failedResponse
	case s.mayHaveRun && !s.policy.Resumable:
		return send.Unknown(deny.KindOutcome, "%s; the request may have run", reason)
	case s.mayHaveRun:
		return send.Unknown(deny.KindOutcome, "%s", reason)
	default:
		return send.Unavailable(s.sender.Queue.RetryAfter(s.call, s.request, s.service, streamRetryAfter), "%s", reason)
	}
}

// giveUp returns the answer when time is up, the caller has left or no target is available.
func (s *stream) giveUp(ctx context.Context, work chain.Work, reason string) chain.Answer {
	switch {
	case ctx.Err() == nil:
		return s.finalAnswer(reason)
	case errors.Is(context.Cause(ctx), chain.ErrStopping):
		return s.stoppedAnswer(work)
	case offer.HasTimeLeft(ctx):
		return chain.Left{}
	case s.head.IsSent() || s.failedResponse != nil || !s.mayHaveRun:
		return s.finalAnswer(reason)
	default:
		return send.Unknown(deny.KindTimeout, "no event in time")
	}
}

// stoppedAnswer returns the answer of a stream that ends since the instance stops.
func (s *stream) stoppedAnswer(work chain.Work) chain.Answer {
	return chain.Stopped{Answer: s.finalAnswer(chain.ErrStopping.Error()), Work: work, Events: s.timing.Events}
}

// isBetterElsewhere reports whether the caller is better served elsewhere, as the instance stops and no event was sent.
func (s *stream) isBetterElsewhere() bool {
	return !s.head.IsSent() && s.sender.Stop.Rejects(s.call.Route.Name, s.request.Received, s.request.Deadline)
}

// work returns what the stream was doing when an attempt ended, which may be the only one.
func (s *stream) work(ended *attempt, result outcome) chain.Work {
	a := s.current
	if a == nil {
		if _, ok := result.(notRun); ok {
			return chain.Between{}
		}
		a = ended
	}
	if errors.Is(a.silence.Err, guard.ErrQueued) && a.silence.LastEvent == a.monitor.LastEvent() {
		return chain.Queued{Target: a.pick.Target.Name}
	}
	return chain.Running{Target: a.pick.Target.Name}
}

// logOutcome logs why an attempt did not complete the stream.
func (s *stream) logOutcome(a *attempt, result outcome) {
	fields := log.Fields{
		"request":  s.call.ID,
		"target":   a.pick.Target.Name,
		"domain":   a.pick.Target.Domain,
		"service":  s.service,
		"sends":    s.sendCount,
		"events":   s.timing.Events,
		"last":     s.events.LastID(),
		"after-ms": time.Since(a.startedAt).Milliseconds(),
		"holder":   s.replicas.HolderName(),
	}
	switch r := result.(type) {
	case notRun:
		s.sender.Log.WithFields(fields).WithField("cause", r.cause).Info("target did not run the stream")
	case interrupted:
		if !s.timing.LastAt.IsZero() {
			fields["silence-ms"] = time.Since(s.timing.LastAt).Milliseconds()
		}
		fields["ended-by"] = string(r.endedBy)
		if r.atBegin {
			fields["parts"] = strings.Join(s.begins.Parts(), ",")
		}
		s.sender.Log.WithFields(fields).WithField("cause", r.cause).Info("stream ended before its last event")
	case wholeResponse:
		s.sender.Log.WithFields(fields).WithField("status", r.response.Head.Status).Info("target answered without a stream")
	}
}
