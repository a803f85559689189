package pass

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	// retryAfter is the retry delay sent with a refusal; by then most lost targets are back or known to be lost.
	retryAfter = 150 * time.Millisecond
	// maxUnsent bounds the attempts of one request that did not reach the intended target.
	maxUnsent = 4
	// minAttemptTimeout is the shortest wait for the answer to an idempotent request before another target is tried;
	// the slowest answers of healthy targets take about 110 ms.
	minAttemptTimeout    = 150 * time.Millisecond
	attemptTimeoutFactor = 8 // attemptTimeoutFactor is the wait for an answer in multiples of the target's mean latency.
	// overlapTimeout is how long a slow attempt stays open after the request was sent to another target; full targets
	// refuse a request at once.
	overlapTimeout = 250 * time.Millisecond
	// moveCheckInterval is the time between two checks of whether a slow request can be sent to another target.
	moveCheckInterval = 100 * time.Millisecond
)

// unaryCall is a request with a single response, as opposed to a stream.
type unaryCall struct {
	sender          *send.Sender
	call            chain.Call
	request         chain.Forward
	idempotent      bool
	service         string
	avoidedTargets  map[string]bool  // names of the targets that were tried
	slowTargets     []string         // names of those to which no connection was established in time
	sendCount       int              // attempts whose target may have received the request
	unsentCount     int              // attempts that did not reach the intended target
	current, former *attempt         // the newest open attempt, and the one before it while that is still open
	patience        <-chan time.Time // fires when another target may be tried; nil if none may
	overlap         <-chan time.Time // fires when the former attempt is given up; nil without one
	begins          *send.Begins     // targets that were lost when they had begun to answer
	reservation     *send.Reservation
	mayHaveRun      bool          // whether a target may have run the request without a valid answer
	failedResponse  *chain.Passed // a target's error response, passed on if no other attempt succeeds
}

// newUnaryCall returns a call whose request has not been sent.
func newUnaryCall(s *send.Sender, c chain.Call, f chain.Forward, idempotent bool) *unaryCall {
	service := c.Route.PickService(rand.Float64())
	return &unaryCall{
		sender:         s,
		call:           c,
		request:        f,
		idempotent:     idempotent,
		service:        service,
		reservation:    s.NewReservation(service),
		avoidedTargets: make(map[string]bool),
		begins:         send.NewBegins(s, c, f),
	}
}

// run sends the request to one target after another until it has an answer or may not be sent again.
func (u *unaryCall) run(ctx context.Context) chain.Answer {
	u.sender.Request(u.service)
	defer u.close()
	for {
		pick, ok := u.sender.Picker.Plain(picker.Want{Service: u.service, Avoid: u.avoidedTargets})
		blocked := u.begins.Blocked()
		switch {
		case ok && blocked && u.current == nil:
			pick.Release()
			return u.finalAnswer(send.BlockedReason)
		case ok && blocked:
			pick.Release()
			u.patience = nil
		case ok:
			u.start(ctx, pick)
		case u.current == nil && u.allowSlowTargets():
			continue
		case u.current == nil:
			return u.finalAnswer("no target of the service is left")
		default:
			u.patience = time.After(moveCheckInterval)
		}
		if answer, done := u.await(ctx); done {
			return answer
		}
	}
}

// allowSlowTargets lets the request be sent to the targets that were slow to accept a connection, and reports whether
// there are any. A dropped packet or a full backlog delays a connection by more than the time that is allowed for it.
func (u *unaryCall) allowSlowTargets() bool {
	slow := u.slowTargets
	for _, name := range slow {
		delete(u.avoidedTargets, name)
	}
	u.slowTargets = nil
	return len(slow) > 0
}

// start sends the request to a target. An attempt that is still open stays so for overlapTimeout, in which the new
// target can refuse the request.
func (u *unaryCall) start(ctx context.Context, pick *picker.Pick) {
	u.avoidedTargets[pick.Target.Name] = true
	if u.former != nil {
		u.former.cancel(errSlow)
		u.settle(ctx, u.former, <-u.former.done)
	}
	left := send.Left(u.call, u.request)
	message := u.sender.Outgoing(send.Send{Call: u.call, Target: pick.Target, Left: left}, u.request, !u.idempotent)
	next, exchange := newAttempt(ctx, u.sender, u.call, pick, message)
	next.isRepeat = u.reservation.Take()
	u.former, u.current = u.current, next
	u.patience, u.overlap = nil, nil
	if u.former == nil && !u.MayRetry() {
		exchange()
		return
	}
	go exchange()
	if u.former != nil {
		u.overlap = time.After(overlapTimeout)
	}
	if timeout := u.attemptTimeout(pick); u.MayRetry() && timeout < left {
		u.patience = time.After(timeout)
	}
}

// await waits for the answer. It returns nil and false if the request may go to another target; the open attempts go
// on meanwhile.
func (u *unaryCall) await(ctx context.Context) (chain.Answer, bool) {
	for {
		select {
		case result := <-u.former.outcomes():
			ended := u.former
			u.former = nil
			if answer, done := u.handleOutcome(ctx, ended, result); done {
				return answer, true
			}
		case result := <-u.current.outcomes():
			ended := u.current
			u.current, u.former = u.former, nil
			u.overlap = nil
			if answer, done := u.handleOutcome(ctx, ended, result); done {
				return answer, true
			}
			if u.current == nil {
				return u.retryOrFinish(ctx, result)
			}
			u.patience = time.After(0) // The other attempt was slow before, so that a third target may be tried at once.
		case <-u.overlap:
			if u.former != nil {
				u.former.cancel(errSlow)
			}
		case <-u.patience:
			if _, ok := retry.Decide(u).(retry.Move); ok {
				u.current.pick.Failed()
				u.current.reported = true
				return nil, false
			}
			u.patience = time.After(moveCheckInterval)
		}
	}
}

// handleOutcome records the result of an attempt. It returns the answer to the caller and true, or nil and false if
// the result is no answer yet.
func (u *unaryCall) handleOutcome(ctx context.Context, a *attempt, result outcome) (chain.Answer, bool) {
	u.settle(ctx, a, result)
	if r, ok := result.(answered); ok && (!r.response.Failed() || !u.idempotent) {
		r.response.Sends = u.sendCount + u.unsentCount + u.openCount()
		return r.response, true
	}
	if ctx.Err() != nil {
		u.close()
		return u.endedAnswer(ctx), true
	}
	return nil, false
}

// settle counts an attempt that has ended, and records its failure unless the caller has left.
func (u *unaryCall) settle(ctx context.Context, a *attempt, result outcome) {
	a.cancel(nil)
	a.pick.Release()
	switch r := result.(type) {
	case notSent:
		u.unsentCount++
		u.reservation.Restore(a.isRepeat)
		if isTimeout(r.err) {
			u.slowTargets = append(u.slowTargets, a.pick.Target.Name)
		}
	case notRun:
		if r.misdirected {
			// The intended target has ended, so it does not count as one that may have received the request.
			u.unsentCount++
		} else {
			u.sendCount++
		}
	case unconfirmed:
		u.sendCount++
		u.mayHaveRun = true
	case answered:
		u.sendCount++
		if r.response.Failed() {
			r.response.Sends = u.sendCount + u.unsentCount
			u.failedResponse = &r.response
		}
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		u.recordOutcome(ctx, a, result)
	}
}

// close ends the open attempts and gives back a retry that was not used.
func (u *unaryCall) close() {
	for _, a := range []*attempt{u.former, u.current} {
		if a == nil {
			continue
		}
		a.cancel(nil)
		if _, ok := (<-a.done).(unconfirmed); ok {
			u.mayHaveRun = true
		}
		a.pick.Release()
	}
	u.former, u.current = nil, nil
	u.reservation.Return()
}

// openCount returns the number of open attempts.
func (u *unaryCall) openCount() int {
	count := 0
	if u.former != nil {
		count++
	}
	if u.current != nil {
		count++
	}
	return count
}

// MayRetry reports whether the request may be sent to one more target while the open attempts go on.
func (u *unaryCall) MayRetry() bool {
	return u.idempotent && u.sendCount+u.openCount() < u.call.Route.MaxAttempts
}

// HasAlternative reports whether a target that was not tried can take the request.
func (u *unaryCall) HasAlternative() bool {
	return u.sender.Picker.HasSound(picker.Want{Service: u.service, Avoid: u.avoidedTargets})
}

// Reserve reserves a retry for the next attempt, unless the bound on retries is reached.
func (u *unaryCall) Reserve() bool {
	return u.reservation.Reserve()
}

// retryOrFinish returns nil and false if the request may go to another target, otherwise its final answer and true.
func (u *unaryCall) retryOrFinish(ctx context.Context, result outcome) (chain.Answer, bool) {
	if _, ok := result.(notSent); ok {
		if u.unsentCount < maxUnsent {
			return nil, false
		}
		return u.finalAnswer("targets cannot be reached"), true
	}
	if r, ok := result.(notRun); ok && r.misdirected && u.unsentCount < maxUnsent && u.Reserve() {
		return nil, false
	}
	switch {
	case !u.idempotent && u.mayHaveRun:
		return u.finalAnswer("its target failed"), true
	case u.sendCount >= u.call.Route.MaxAttempts:
		return u.finalAnswer("its attempts are used up"), true
	case u.begins.Exhausted(ctx):
		return u.finalAnswer(send.CrashReason), true
	case !u.Reserve():
		return u.finalAnswer("the retry bound is reached"), true
	}
	return nil, false
}

// finalAnswer returns the answer to a request that is not sent again.
func (u *unaryCall) finalAnswer(reason string) chain.Answer {
	switch {
	case u.failedResponse != nil:
		return *u.failedResponse
	case u.mayHaveRun:
		return send.Unknown(deny.KindOutcome, "%s; the request may have run", reason)
	default:
		return send.Unavailable(retryAfter, "%s", reason)
	}
}

// endedAnswer returns the answer when the context has ended: by its deadline, because the instance stops or because the
// caller left.
func (u *unaryCall) endedAnswer(ctx context.Context) chain.Answer {
	switch {
	case errors.Is(context.Cause(ctx), chain.ErrStopping):
		return u.finalAnswer(chain.ErrStopping.Error())
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return chain.Left{}
	case u.failedResponse != nil:
		return *u.failedResponse
	case u.mayHaveRun:
		return send.Unknown(deny.KindTimeout, "no answer in time")
	default:
		return send.Unavailable(retryAfter, "no target took the request in time")
	}
}

// recordOutcome logs an outcome other than answered, and tells the picker if the target failed. Targets that could not
// be reached are reported by the attempt.
func (u *unaryCall) recordOutcome(ctx context.Context, a *attempt, result outcome) {
	if r, ok := result.(answered); ok {
		if !r.response.Failed() {
			u.begins.Answered()
		}
		return
	}
	fields := log.Fields{"request": u.call.ID, "target": a.pick.Target.Name, "service": u.service, "sends": u.sendCount}
	switch r := result.(type) {
	case notRun:
		a.pick.Failed()
		u.sender.Log.WithFields(fields).WithField("status", r.status).Info("target did not run the request")
	case notSent:
		u.sender.Log.WithFields(fields).WithError(r.err).Info("target did not get the request")
	case unconfirmed:
		if !a.reported {
			a.pick.Failed()
		}
		if errors.Is(r.err, link.ErrBroken) {
			u.begins.BrokenOff(ctx, a.pick.Target)
		}
		u.sender.Log.WithFields(fields).WithError(r.err).Info("no valid response; the request may have run")
	}
}

// isTimeout reports whether an error was caused by a time limit of the connection.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// attemptTimeout returns how long to wait for one target before another may be tried.
func (u *unaryCall) attemptTimeout(pick *picker.Pick) time.Duration {
	return max(minAttemptTimeout, attemptTimeoutFactor*pick.Latency())
}
