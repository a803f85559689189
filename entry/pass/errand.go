package pass

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"bramleywharf.example/entry/shift"
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
	// moveCheckInterval is the time between two checks of whether a slow request can be sent to another target.
	moveCheckInterval = 100 * time.Millisecond
)

// unaryCall is a request with a single response, as opposed to a stream.
type unaryCall struct {
	sender         *send.Sender
	call           chain.Call
	request        chain.Forward
	idempotent     bool
	service        string
	avoidedTargets map[string]bool  // names of the targets that were tried
	spareTargets   []string         // names of those that may be tried once more if no other one is left
	sendCount      int              // attempts whose target may have received the request
	unsentCount    int              // attempts that did not reach the intended target
	open           []*attempt       // the attempts that have not ended, the newest last
	completions    chan completion  // receives each attempt as it ends
	patience       <-chan time.Time // fires when another target may be tried; nil if none may
	begins         *send.Begins     // targets that were lost at the begin of their answers
	choice         *shift.Choice    // version of the targets
	reservation    *send.Reservation
	mayHaveRun     bool          // whether a target may have run the request without a valid answer
	failedResponse *chain.Passed // a target's error response, passed on if no other attempt succeeds
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
		choice:         s.Shift.Choose(service, c.ID),
		reservation:    s.NewReservation(service),
		avoidedTargets: make(map[string]bool),
		completions:    make(chan completion, 1),
		begins:         send.NewBegins(s, c, f),
	}
}

// run sends the request to one target after another until it has an answer or may not be sent again.
func (u *unaryCall) run(ctx context.Context) chain.Answer {
	u.sender.Request(u.service)
	defer u.close()
	for {
		pick, ok := u.sender.Picker.Plain(u.want())
		blocked := u.begins.Blocked()
		switch {
		case ok && blocked && len(u.open) == 0:
			pick.Release()
			return u.finalAnswer(send.BlockedReason)
		case ok && blocked:
			pick.Release()
			u.patience = nil
		case ok:
			u.start(ctx, pick)
		case len(u.open) == 0 && u.allowSpareTargets():
			continue
		case len(u.open) == 0:
			return u.finalAnswer("no target of the service is left")
		default:
			u.patience = time.After(moveCheckInterval)
		}
		if answer, done := u.await(ctx); done {
			return answer
		}
	}
}

// want returns the criteria by which the picker chooses a target.
func (u *unaryCall) want() picker.Want {
	return picker.Want{Service: u.service, Avoid: u.avoidedTargets, Version: u.choice.Versions()}
}

// allowSpareTargets lets the request be sent to the spare targets again, and reports whether there are any.
func (u *unaryCall) allowSpareTargets() bool {
	spare := u.spareTargets
	for _, name := range spare {
		delete(u.avoidedTargets, name)
	}
	u.spareTargets = nil
	return len(spare) > 0
}

// start sends the request to a target, beside the attempts that are open.
func (u *unaryCall) start(ctx context.Context, pick *picker.Pick) {
	u.avoidedTargets[pick.Target.Name] = true
	u.choice.Sent(pick.Target, u.call.Route.Name, u.request.Prompt.Tokens())
	left := send.Left(u.call, u.request)
	// A retry does not rest on a kept connection, which may be what broke.
	message := u.sender.Outgoing(send.Send{Call: u.call, Target: pick.Target, Left: left}, u.request, !u.idempotent || u.sendCount > 0)
	a, exchange := newAttempt(ctx, u.sender, u.call, pick, message, u.completions)
	a.isRepeat = u.reservation.Take()
	u.open = append(u.open, a)
	u.patience = nil
	if len(u.open) == 1 && !u.MayRetry() {
		exchange()
		return
	}
	go exchange()
	if timeout := u.attemptTimeout(pick); u.MayRetry() && timeout < left {
		u.patience = time.After(timeout)
	}
}

// await waits for the answer. It returns nil and false if the request may go to another target; the open attempts go
// on meanwhile, until one of them has the answer.
func (u *unaryCall) await(ctx context.Context) (chain.Answer, bool) {
	for {
		select {
		case ended := <-u.completions:
			wasNewest := ended.attempt == u.newest()
			u.open = slices.DeleteFunc(u.open, func(a *attempt) bool { return a == ended.attempt })
			if answer, done := u.handleOutcome(ctx, ended.attempt, ended.outcome); done {
				return answer, true
			}
			if len(u.open) == 0 {
				return u.retryOrFinish(ctx, ended.outcome)
			}
			if wasNewest {
				u.patience = time.After(0) // The other attempts were slow before, so that another target may be tried at once.
			}
		case <-u.patience:
			if u.mayMove(ctx) {
				u.newest().reportFailure()
				return nil, false
			}
			u.patience = time.After(moveCheckInterval)
		}
	}
}

// mayMove reports whether a slow request goes to another target, and reserves a retry for it if so.
func (u *unaryCall) mayMove(ctx context.Context) bool {
	if !u.MayRetry() || u.begins.Exhausted(ctx) {
		return false
	}
	_, ok := retry.Decide(u).(retry.Move)
	return ok
}

// newest returns the newest open attempt.
func (u *unaryCall) newest() *attempt {
	return u.open[len(u.open)-1]
}

// handleOutcome records the result of an attempt. It returns the answer to the caller and true, or nil and false if
// the result is no answer yet.
func (u *unaryCall) handleOutcome(ctx context.Context, a *attempt, result outcome) (chain.Answer, bool) {
	u.settle(ctx, a, result)
	if r, ok := result.(answered); ok && (!r.response.Failed() || !u.idempotent) {
		r.response.Sends = u.sendCount + u.unsentCount + len(u.open)
		return r.response, true
	}
	if ctx.Err() != nil {
		work := u.work(a, result)
		u.close()
		return u.endedAnswer(ctx, work), true
	}
	return nil, false
}

// settle counts an attempt that has ended, and records its failure unless the caller has left.
func (u *unaryCall) settle(ctx context.Context, a *attempt, result outcome) {
	a.cancel()
	a.pick.Release()
	switch r := result.(type) {
	case notSent:
		u.unsentCount++
		u.reservation.Restore(a.isRepeat)
		// A dropped packet or a full backlog delays a connection by more than the time that is allowed for it.
		if isTimeout(r.err) {
			u.spareTargets = append(u.spareTargets, a.pick.Target.Name)
		}
	case notRun:
		if r.misdirected {
			// The intended target has ended, so it does not count as one that may have received the request.
			u.unsentCount++
		} else {
			u.sendCount++
		}
	case unconfirmed:
		recordBroken(ctx, a, r.err)
		u.sendCount++
		u.mayHaveRun = true
		// A connection can break although its target is sound.
		if u.idempotent {
			u.spareTargets = append(u.spareTargets, a.pick.Target.Name)
		}
	case answered:
		a.trial.Responded(r.response.Head.Status)
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

// recordBroken records for the roll-out of the target's version that there was no valid response, unless the caller has
// left.
func recordBroken(ctx context.Context, a *attempt, err error) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
	case ctx.Err() != nil || isTimeout(err):
		a.trial.GivenUp()
	default:
		a.trial.Broken(ctx)
	}
}

// close ends the open attempts and gives back a retry that was not used.
func (u *unaryCall) close() {
	for _, a := range u.open {
		a.trial.GivenUp()
		a.cancel()
	}
	for range u.open {
		ended := <-u.completions
		if _, ok := ended.outcome.(unconfirmed); ok {
			u.mayHaveRun = true
		}
		ended.attempt.pick.Release()
	}
	u.open = nil
	u.reservation.Return()
}

// MayRetry reports whether the request may be sent to one more target while the open attempts go on.
func (u *unaryCall) MayRetry() bool {
	return u.idempotent && u.sendCount+len(u.open) < u.call.Route.MaxAttempts && u.unsentCount < maxUnsent
}

// HasAlternative reports whether a target that was not tried can take the request.
func (u *unaryCall) HasAlternative() bool {
	return u.sender.Picker.HasSound(u.want())
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
func (u *unaryCall) endedAnswer(ctx context.Context, work chain.Work) chain.Answer {
	switch {
	case errors.Is(context.Cause(ctx), chain.ErrStopping):
		return chain.Stopped{Answer: u.finalAnswer(chain.ErrStopping.Error()), Work: work}
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

// work returns what the request was doing when an attempt ended, beside which others may be open.
func (u *unaryCall) work(ended *attempt, result outcome) chain.Work {
	if len(u.open) > 0 {
		return chain.Running{Target: u.newest().pick.Target.Name}
	}
	if _, ok := result.(unconfirmed); ok {
		return chain.Running{Target: ended.pick.Target.Name}
	}
	return chain.Between{}
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
		a.reportFailure()
		if endedByTarget(r.err) {
			u.begins.BrokenOff(ctx, a.pick.Target)
		}
		u.sender.Log.WithFields(fields).WithError(r.err).Info("no valid response; the request may have run")
	}
}

// endedByTarget reports whether an error shows that the target ended the connection, before or within its answer.
func endedByTarget(err error) bool {
	return !isTimeout(err) && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, link.ErrBroken))
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
