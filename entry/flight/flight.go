package flight

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/event"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	// streamRetryAfter is the retry delay sent with a refusal; the engines of a failed domain are back after about 1 s.
	streamRetryAfter = 600 * time.Millisecond
	// maxUnsent bounds the attempts of one stream that did not reach the intended target.
	maxUnsent = 8
	// firstTargetTimeout is how long a new stream waits for an available target before it is refused; an eighth of
	// the sheet's latency objective of 4.5 s is spare.
	firstTargetTimeout = 400 * time.Millisecond
	// nextTargetTimeout is that wait for a stream whose caller has the response head already; callers give up a
	// stream after 5.6 s without an event.
	nextTargetTimeout  = 1500 * time.Millisecond
	targetPollInterval = 50 * time.Millisecond // targetPollInterval is the delay between two tries to get a target.
)

// stream is the state of one streamed request over all its attempts. One goroutine owns it; others change only the
// atomic fields.
type stream struct {
	sender            *send.Sender
	call              chain.Call
	request           chain.Forward
	policy            site.Stream
	service           string
	canReplicate      bool            // whether the stream is resumable and targets keep replicas for each other
	memoryTokens      int             // capacity of one target in tokens, or 0
	replicaRefreshAge time.Duration   // age at which an ordered replica is ordered again
	avoidedTargets    map[string]bool // names of the targets that failed an attempt
	usedAddresses     map[string]bool // addresses that the request was sent to
	sendCount         int             // attempts whose target may have received the request
	unsentCount       int             // attempts that did not reach the intended target
	resumeCount       int             // times the stream went on at another target after its first event
	begins            *send.Begins    // targets that were lost when they had begun to answer
	wentOn            bool            // whether a target went on after it had begun to answer
	eventCount        int             // events delivered to the caller
	lastEventID       string          // id of the last event that the caller has
	headSent          atomic.Bool     // whether the caller has the head of the response
	mayHaveRun        bool            // whether a target may have run the request
	hasReservedRetry  bool            // whether a retry is reserved; set by the monitor before it ends the attempt
	endedBy           chain.Ending    // what ended the last interrupted attempt, or empty
	failedResponse    *chain.Passed   // a target's error response, passed on if no other attempt succeeds
	replica           atomic.Pointer[replica]
	lastEventAt       time.Time     // when the last event was delivered
	attemptDelivered  bool          // whether the current attempt has delivered an event
	firstEventDelay   time.Duration // time from the arrival of the request to the first event
	longestGap        time.Duration // longest time between two events
}

// replica is a copy of a stream's prompt memory at another target than the one that runs it.
type replica struct {
	holder    site.Target // target that keeps the replica
	source    send.Source // where another target gets it from
	orderedAt time.Time   // zero for a replica that the running target keeps up to date from its first event on
	release   func()      // removes the replica from the picker's load of its holder
}

// Run runs a stream until it is complete, refused or interrupted for good, or its caller has left.
func Run(ctx context.Context, sender *send.Sender, c chain.Call, f chain.Forward, policy site.Stream) chain.Answer {
	ctx, cancel := context.WithDeadline(ctx, f.Deadline)
	defer cancel()
	s := newStream(sender, c, f, policy)
	ctx, expire := context.WithCancelCause(ctx)
	defer expire(nil)
	if at, ok := send.Timeout(c, f); ok {
		timer := time.AfterFunc(time.Until(at), func() {
			if !s.headSent.Load() {
				expire(errFirstEventTimeout)
			}
		})
		defer timer.Stop()
	}
	return s.run(ctx)
}

// errFirstEventTimeout ends a stream that had no event within its route's timeout.
var errFirstEventTimeout = errors.New("the route's timeout passed before the first event")

// hasTimeLeft reports whether neither the deadline nor the timeout for the first event has passed. When the context
// of a stream ends with time left, its caller is gone.
func hasTimeLeft(ctx context.Context) bool {
	return ctx.Err() == nil || !errors.Is(ctx.Err(), context.DeadlineExceeded) && !errors.Is(context.Cause(ctx), errFirstEventTimeout)
}

// newStream returns a stream whose request has not been sent.
func newStream(sender *send.Sender, c chain.Call, f chain.Forward, policy site.Stream) *stream {
	s := &stream{
		sender:         sender,
		call:           c,
		request:        f,
		policy:         policy,
		service:        c.Route.PickService(rand.Float64()),
		avoidedTargets: make(map[string]bool),
		usedAddresses:  make(map[string]bool),
		lastEventID:    f.LastEvent,
		begins:         send.NewBegins(sender, c, f),
	}
	if service, ok := c.Site.Service(s.service); ok && service.Engine != nil {
		s.canReplicate = service.Engine.KeepsReplicas && policy.Resumable
		s.memoryTokens = service.Engine.CapacityTokens
		s.replicaRefreshAge = time.Duration(replicaRefreshRatio * float64(service.Engine.ReplicaTTL))
	}
	return s
}

// run sends the request to one target after another until the stream is complete or may not go on.
func (s *stream) run(ctx context.Context) chain.Answer {
	s.sender.Request(s.service)
	defer s.freeReplica(ctx)
	defer s.returnRetry()
	for {
		pick, source, ok := s.chooseTarget(ctx)
		if !ok {
			return s.giveUp(ctx, "no target of the service is left")
		}
		if s.isBlocked() {
			pick.Release()
			return s.finalAnswer("a part of its prompt crashes targets")
		}
		startedAt := time.Now()
		result := s.tryTarget(ctx, pick, source)
		pick.Release()
		if answer, done := s.handleOutcome(ctx, pick, result, startedAt); done {
			return answer
		}
	}
}

// chooseTarget returns the target of the next attempt. The holder of a replica comes first, returned together with
// the replica's source. When no target is left, those that failed an attempt are tried again.
func (s *stream) chooseTarget(ctx context.Context) (*picker.Pick, send.Source, bool) {
	if r := s.swapReplica(nil); r != nil {
		if pick, ok := s.sender.Picker.Sound(r.holder, s.want()); ok {
			return pick, r.source, true
		}
	}
	timeout := firstTargetTimeout
	if s.headSent.Load() {
		timeout = nextTargetTimeout
	}
	deadline := time.Now().Add(timeout)
	for {
		pick, ok := s.pickTarget(ctx)
		if ok {
			return pick, send.Source{}, true
		}
		clear(s.avoidedTargets)
		if time.Now().After(deadline) || !wait.Sleep(ctx, targetPollInterval) {
			return nil, send.Source{}, false
		}
	}
}

// want returns the criteria by which the picker chooses a target.
func (s *stream) want() picker.Want {
	session := s.request.Prompt.Session()
	if session == "" {
		session = s.call.ID
	}
	return picker.Want{Service: s.service, Session: session, Prompt: s.request.Prompt.Tokens(), Memory: s.memoryTokens, Avoid: s.avoidedTargets}
}

// handleOutcome records how an attempt ended. It returns the answer to the caller and true, or nil and false if
// another attempt follows.
func (s *stream) handleOutcome(ctx context.Context, pick *picker.Pick, result outcome, startedAt time.Time) (chain.Answer, bool) {
	if _, done := result.(completed); !done && ctx.Err() != nil {
		s.mayHaveRun = s.mayHaveRun || mayHaveRun(result)
		return s.giveUp(ctx, "time is up"), true
	}
	switch r := result.(type) {
	case completed:
		return chain.Finished{Events: s.eventCount, Resumed: s.resumeCount, First: s.firstEventDelay, Pause: s.longestGap}, true
	case wholeResponse:
		if !s.headSent.Load() && !(r.response.Failed() && s.policy.Resumable) {
			return r.response, true
		}
		pick.Failed()
		s.failedResponse = &r.response
	case callerGone:
		return chain.Left{}, true
	case notRun:
		s.reportFailure(pick, r.unreachable, r.cause)
	case interrupted:
		s.endedBy = r.endedBy
		s.sender.Counts.Endings[r.endedBy].Inc()
		s.reportFailure(pick, true, r.cause)
		if r.atBegin {
			s.begins.BrokenOff(ctx, pick.Target)
		}
	}
	s.avoidedTargets[pick.Target.Name] = true
	s.mayHaveRun = s.mayHaveRun || mayHaveRun(result)
	s.logOutcome(pick, result, startedAt)
	return s.retryOrFinish(ctx, result)
}

// holderName returns the name of the target that holds the replica, or an empty name.
func (s *stream) holderName() string {
	if r := s.replica.Load(); r != nil {
		return r.holder.Name
	}
	return ""
}

// mayHaveRun reports whether a target may have run the request in an attempt.
func mayHaveRun(result outcome) bool {
	_, didNotRun := result.(notRun)
	return !didNotRun
}

// swapReplica sets the replica, which may be nil, and returns the previous one after its release.
func (s *stream) swapReplica(next *replica) *replica {
	old := s.replica.Swap(next)
	if old != nil {
		old.release()
	}
	return old
}

// reportFailure tells the picker that a target was lost, which makes it suspect, or that it only failed the request.
func (s *stream) reportFailure(pick *picker.Pick, lost bool, cause string) {
	if lost {
		pick.Lost(cause)
		return
	}
	pick.Failed()
}

// reserveRetry reserves a retry until takeRetry uses it, unless the bound on retries is reached.
func (s *stream) reserveRetry() bool {
	s.hasReservedRetry = s.hasReservedRetry || s.sender.Repeat(s.service)
	return s.hasReservedRetry
}

// takeRetry uses the reserved retry or, if there is none, one within the bound. It returns false if the bound is reached.
func (s *stream) takeRetry() bool {
	ok := s.reserveRetry()
	s.hasReservedRetry = false
	return ok
}

// returnRetry gives back a retry that was reserved and not used.
func (s *stream) returnRetry() {
	if s.hasReservedRetry {
		s.hasReservedRetry = false
		s.sender.Unrepeat(s.service)
	}
}

// retryOrFinish returns nil and false if the stream may go on at another target, otherwise its final answer and true.
func (s *stream) retryOrFinish(ctx context.Context, result outcome) (chain.Answer, bool) {
	if r, ok := result.(notRun); ok && (!r.received || r.misdirected) {
		s.unsentCount++
		if s.unsentCount <= maxUnsent && (!r.misdirected || s.takeRetry()) {
			return nil, false
		}
	}
	reason := ""
	switch {
	case s.mayHaveRun && !s.policy.Resumable:
		reason = "its target failed and it may not be resumed"
	case s.eventCount > 0 && !event.IsNumber(s.lastEventID):
		reason = "its target failed and its events have no numbers to resume after"
	case s.sendCount >= s.call.Route.MaxAttempts:
		reason = "its attempts are used up"
	case s.begins.Exhausted(ctx):
		reason = "targets crashed when they had begun to answer it"
	case !s.takeRetry():
		reason = "the retry bound is reached"
	default:
		return nil, false
	}
	return s.finalAnswer(reason), true
}

// isBlocked reports whether a part of the prompt is known to crash targets. A stream with which a target went on does not.
func (s *stream) isBlocked() bool {
	_, ok := s.sender.Blocks.Blocked(s.request.Prompt.Shared())
	return ok && !s.wentOn
}

// finalAnswer returns the answer of a stream that does not go on at another target.
func (s *stream) finalAnswer(reason string) chain.Answer {
	switch {
	case s.headSent.Load():
		s.sender.Counts.Severed.Inc()
		return chain.Severed{Reason: reason, EndedBy: s.endedBy}
	case s.failedResponse != nil:
		return *s.failedResponse
	case s.mayHaveRun && !s.policy.Resumable:
		return send.Unknown(deny.KindOutcome, "%s; the request may have run", reason)
	case s.mayHaveRun:
		return send.Unknown(deny.KindOutcome, "%s", reason)
	default:
		return send.Unavailable(streamRetryAfter, "%s", reason)
	}
}

// giveUp returns the answer when time is up, the caller has left or no target is available.
func (s *stream) giveUp(ctx context.Context, reason string) chain.Answer {
	switch {
	case ctx.Err() == nil:
		return s.finalAnswer(reason)
	case hasTimeLeft(ctx):
		return chain.Left{}
	case s.headSent.Load() || s.failedResponse != nil || !s.mayHaveRun:
		return s.finalAnswer(reason)
	default:
		return send.Unknown(deny.KindTimeout, "no event in time")
	}
}

// logOutcome logs why an attempt did not complete the stream.
func (s *stream) logOutcome(pick *picker.Pick, result outcome, startedAt time.Time) {
	fields := log.Fields{
		"request":  s.call.ID,
		"target":   pick.Target.Name,
		"domain":   pick.Target.Domain,
		"service":  s.service,
		"sends":    s.sendCount,
		"events":   s.eventCount,
		"last":     s.lastEventID,
		"after-ms": time.Since(startedAt).Milliseconds(),
		"holder":   s.holderName(),
	}
	switch r := result.(type) {
	case notRun:
		s.sender.Log.WithFields(fields).WithField("cause", r.cause).Info("target did not run the stream")
	case interrupted:
		if !s.lastEventAt.IsZero() {
			fields["silence-ms"] = time.Since(s.lastEventAt).Milliseconds()
		}
		fields["ended-by"] = string(r.endedBy)
		if r.atBegin {
			fields["parts"] = strings.Join(s.request.Prompt.Shared(), ",")
		}
		s.sender.Log.WithFields(fields).WithField("cause", r.cause).Info("stream ended before its last event")
	case wholeResponse:
		s.sender.Log.WithFields(fields).WithField("status", r.response.Head.Status).Info("target answered without a stream")
	}
}
