package pass

import (
	"context"
	"math/rand/v2"
	"time"

	"bramleywharf.example/core/deny"
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
)

// unaryCall is a request with a single response, as opposed to a stream.
type unaryCall struct {
	sender         *send.Sender
	call           chain.Call
	request        chain.Forward
	idempotent     bool
	service        string
	avoidedTargets map[string]bool // names of the targets that were tried
	sendCount      int             // attempts whose target may have received the request
	unsentCount    int             // attempts that did not reach the intended target
	mayHaveRun     bool            // whether a target may have run the request without a valid answer
	failedResponse *chain.Passed   // a target's error response, passed on if no other attempt succeeds
}

// outcome is the sealed set of results of one attempt: answered, notRun, notSent and unconfirmed.
type outcome interface {
	isOutcome()
}

// answered means that a target ran the request and returned a whole response.
type answered struct {
	response chain.Passed
}

// notRun means that a target refused the request without running it.
type notRun struct {
	status      int
	misdirected bool // another target has the address and refused; the intended one has ended
}

// notSent means that the target never received the request.
type notSent struct {
	err error
}

// unconfirmed means that the target may have run the request but returned no valid response.
type unconfirmed struct {
	err error
}

func (answered) isOutcome()    {}
func (notRun) isOutcome()      {}
func (notSent) isOutcome()     {}
func (unconfirmed) isOutcome() {}

// newUnaryCall returns a call whose request has not been sent.
func newUnaryCall(s *send.Sender, c chain.Call, f chain.Forward, idempotent bool) *unaryCall {
	return &unaryCall{
		sender:         s,
		call:           c,
		request:        f,
		idempotent:     idempotent,
		service:        c.Route.PickService(rand.Float64()),
		avoidedTargets: make(map[string]bool),
	}
}

// run sends the request to one target after another until it has an answer or may not be sent again.
func (u *unaryCall) run(ctx context.Context) chain.Answer {
	u.sender.Request(u.service)
	for {
		pick, ok := u.sender.Picker.Plain(picker.Want{Service: u.service, Avoid: u.avoidedTargets})
		if !ok {
			return u.finalAnswer("no target of the service is left")
		}
		result := u.send(ctx, pick)
		pick.Release()
		u.avoidedTargets[pick.Target.Name] = true
		if !errors.Is(ctx.Err(), context.Canceled) {
			u.recordFailure(pick, result)
		}
		if answer, done := u.handleOutcome(ctx, result); done {
			return answer
		}
	}
}

// handleOutcome records the result of an attempt. It returns the answer to the caller and true, or nil and false if
// another attempt follows.
func (u *unaryCall) handleOutcome(ctx context.Context, result outcome) (chain.Answer, bool) {
	switch r := result.(type) {
	case answered:
		if !r.response.Failed() || !u.idempotent {
			return r.response, true
		}
		u.failedResponse = &r.response
	case unconfirmed:
		u.mayHaveRun = true
	}
	if err := ctx.Err(); err != nil {
		return u.expiredAnswer(err), true
	}
	return u.retryOrFinish(result)
}

// retryOrFinish returns nil and false if the request may go to another target, otherwise its final answer and true.
func (u *unaryCall) retryOrFinish(result outcome) (chain.Answer, bool) {
	if _, ok := result.(notSent); ok {
		if u.unsentCount < maxUnsent {
			return nil, false
		}
		return u.finalAnswer("targets cannot be reached"), true
	}
	if r, ok := result.(notRun); ok && r.misdirected && u.unsentCount < maxUnsent && u.sender.Repeat(u.service) {
		return nil, false
	}
	switch {
	case !u.idempotent && u.mayHaveRun:
		return u.finalAnswer("its target failed"), true
	case u.sendCount >= u.call.Route.MaxAttempts:
		return u.finalAnswer("its attempts are used up"), true
	case !u.sender.Repeat(u.service):
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

// expiredAnswer returns the answer when the context has ended with err, by its deadline or because the caller left.
func (u *unaryCall) expiredAnswer(err error) chain.Answer {
	switch {
	case !errors.Is(err, context.DeadlineExceeded):
		return chain.Left{}
	case u.failedResponse != nil:
		return *u.failedResponse
	case u.mayHaveRun:
		return send.Unknown(deny.KindTimeout, "no answer in time")
	default:
		return send.Unavailable(retryAfter, "no target took the request in time")
	}
}

// recordFailure logs an outcome other than answered, and tells the picker if the target failed. Targets that could not
// be reached are reported by send.
func (u *unaryCall) recordFailure(pick *picker.Pick, result outcome) {
	if _, ok := result.(answered); ok {
		return
	}
	fields := log.Fields{"request": u.call.ID, "target": pick.Target.Name, "service": u.service, "sends": u.sendCount}
	switch r := result.(type) {
	case notRun:
		pick.Failed()
		u.sender.Log.WithFields(fields).WithField("status", r.status).Info("target did not run the request")
	case notSent:
		u.sender.Log.WithFields(fields).WithError(r.err).Info("target did not get the request")
	case unconfirmed:
		pick.Failed()
		u.sender.Log.WithFields(fields).WithError(r.err).Info("no valid response; the request may have run")
	}
}

// send sends the request to one target.
func (u *unaryCall) send(ctx context.Context, pick *picker.Pick) outcome {
	startedAt := time.Now()
	if timeout := u.attemptTimeout(pick); timeout < send.Left(u.call, u.request) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	message := u.sender.Outgoing(send.Send{Call: u.call, Target: pick.Target, Left: send.Left(u.call, u.request)}, u.request, !u.idempotent)
	u.sender.Counts.Sends.Inc()
	reply, body, err := u.sender.Link.Exchange(ctx, message)
	var notSentErr *link.NotSentError
	if errors.As(err, &notSentErr) {
		u.sender.Counts.Unsent.Inc()
		u.unsentCount++
		if !errors.Is(ctx.Err(), context.Canceled) {
			pick.Lost(err.Error())
		}
		return notSent{err: err}
	}
	u.sendCount++
	if err != nil {
		return unconfirmed{err: err}
	}
	return u.outcomeOf(ctx, pick, reply, body, time.Since(startedAt))
}

// attemptTimeout returns how long to wait for one target: all the time left if no other may be tried after it.
func (u *unaryCall) attemptTimeout(pick *picker.Pick) time.Duration {
	timeLeft := send.Left(u.call, u.request)
	if !u.idempotent || u.sendCount+1 >= u.call.Route.MaxAttempts {
		return timeLeft
	}
	return min(timeLeft, max(minAttemptTimeout, attemptTimeoutFactor*pick.Latency()))
}

// outcomeOf returns the outcome that a whole response stands for, and tells the picker of a successful one.
func (u *unaryCall) outcomeOf(ctx context.Context, pick *picker.Pick, reply *link.Reply, body []byte, took time.Duration) outcome {
	status := reply.Status()
	switch v := u.sender.Dialect.Judge(status, reply.Header()).(type) {
	case send.NotRun:
		if v.Misdirected {
			// The intended target has ended, so it does not count as one that may have received the request.
			u.sendCount--
			u.unsentCount++
			u.sender.Misdirected(ctx, u.call, pick, v.Holder)
		}
		return notRun{status: status, misdirected: v.Misdirected}
	case send.Signed:
		if status < 500 {
			pick.Succeeded(took)
		}
		head := chain.Head{Status: status, Header: u.sender.Dialect.Response(reply.Header())}
		return answered{response: chain.Passed{Head: head, Body: body, Sends: u.sendCount + u.unsentCount}}
	default:
		return unconfirmed{err: errors.Errorf("response with status %d has no signature", status)}
	}
}
