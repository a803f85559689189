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
	retryAfter     = 150 * time.Millisecond // retryAfter is when callers of whole answers should come back; most losses are over or known by then.
	maxUnsent      = 4                      // maxUnsent bounds the targets that one request could not be sent to.
	patienceMin    = 150 * time.Millisecond // patienceMin is the shortest wait for an idempotent answer before another target is asked; the slowest sound answers take about 110 ms.
	patienceFactor = 8                      // patienceFactor is how many mean latencies an answer may take.
)

// errand is a request that is answered as a whole.
type errand struct {
	sender     *send.Sender
	call       chain.Call
	request    chain.Forward
	idempotent bool
	service    string
	avoid      map[string]bool
	sends      int // sends counts the targets that may have had the request.
	unsent     int // unsent counts the targets that it could not be sent to.
	ran        bool
	failure    *chain.Passed // failure is a target's own failure, passed on when nothing better comes.
}

// outcome is the sealed set of what came of one send: answered, notRun, notSent and lost.
type outcome interface {
	isOutcome()
}

// answered is a whole response of the target that ran the request.
type answered struct {
	passed chain.Passed
}

// notRun is a target's promise that the request has not run.
type notRun struct {
	status      int
	misdirected bool // misdirected tells that the target it was meant for has ended.
}

// notSent says that the target never had the request.
type notSent struct {
	err error
}

// lost says that the request may have run.
type lost struct {
	err error
}

func (answered) isOutcome() {}
func (notRun) isOutcome()   {}
func (notSent) isOutcome()  {}
func (lost) isOutcome()     {}

// newErrand returns a request that has not been sent.
func newErrand(s *send.Sender, c chain.Call, f chain.Forward, idempotent bool) *errand {
	return &errand{
		sender:     s,
		call:       c,
		request:    f,
		idempotent: idempotent,
		service:    c.Route.Pick(rand.Float64()),
		avoid:      make(map[string]bool),
	}
}

// run sends the request until it has an answer or may not be sent again.
func (e *errand) run(ctx context.Context) chain.Answer {
	e.sender.Request(e.service)
	for {
		pick, ok := e.sender.Picker.Plain(picker.Want{Service: e.service, Avoid: e.avoid})
		if !ok {
			return e.conclude("no target of the service is left")
		}
		result := e.send(ctx, pick)
		pick.Release()
		e.avoid[pick.Target.Name] = true
		if !errors.Is(ctx.Err(), context.Canceled) {
			e.note(pick, result)
		}
		if answer, done := e.judge(ctx, result); done {
			return answer
		}
	}
}

// judge decides what follows from an outcome.
func (e *errand) judge(ctx context.Context, result outcome) (chain.Answer, bool) {
	switch r := result.(type) {
	case answered:
		if !r.passed.Failed() || !e.idempotent {
			return r.passed, true
		}
		e.failure = &r.passed
	case lost:
		e.ran = true
	}
	if err := ctx.Err(); err != nil {
		return e.expired(err), true
	}
	return e.next(result)
}

// next tells whether the request may go to another target.
func (e *errand) next(result outcome) (chain.Answer, bool) {
	if _, ok := result.(notSent); ok {
		if e.unsent < maxUnsent {
			return nil, false
		}
		return e.conclude("targets cannot be reached"), true
	}
	if r, ok := result.(notRun); ok && r.misdirected && e.unsent < maxUnsent && e.sender.Repeat(e.service) {
		return nil, false
	}
	switch {
	case !e.idempotent && e.ran:
		return e.conclude("its target failed"), true
	case e.sends >= e.call.Route.Attempts:
		return e.conclude("its attempts are used up"), true
	case !e.sender.Repeat(e.service):
		return e.conclude("the retry bound is reached"), true
	}
	return nil, false
}

// conclude answers when the request is not sent again.
func (e *errand) conclude(reason string) chain.Answer {
	switch {
	case e.failure != nil:
		return *e.failure
	case e.ran:
		return send.Unknown(deny.KindOutcome, "%s; the request may have run", reason)
	default:
		return send.Unavailable(retryAfter, "%s", reason)
	}
}

// expired answers when time is up.
func (e *errand) expired(err error) chain.Answer {
	switch {
	case !errors.Is(err, context.DeadlineExceeded):
		return chain.Left{}
	case e.failure != nil:
		return *e.failure
	case e.ran:
		return send.Unknown(deny.KindTimeout, "no answer in time")
	default:
		return send.Unavailable(retryAfter, "no target took the request in time")
	}
}

// note logs an outcome that is no answer and tells the picker of it.
func (e *errand) note(pick *picker.Pick, result outcome) {
	if _, ok := result.(answered); ok {
		return
	}
	fields := log.Fields{"request": e.call.ID, "target": pick.Target.Name, "service": e.service, "sends": e.sends}
	switch r := result.(type) {
	case notRun:
		pick.Failed()
		e.sender.Log.WithFields(fields).WithField("status", r.status).Info("target did not run the request")
	case notSent:
		e.sender.Log.WithFields(fields).WithError(r.err).Info("target did not get the request")
	case lost:
		pick.Failed()
		e.sender.Log.WithFields(fields).WithError(r.err).Info("request may have run")
	}
}

// send sends the request to one target.
func (e *errand) send(ctx context.Context, pick *picker.Pick) outcome {
	began := time.Now()
	if patience := e.patience(pick); patience < send.Left(e.call, e.request) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, patience)
		defer cancel()
	}
	message := e.sender.Outgoing(send.Send{Call: e.call, Target: pick.Target, Left: send.Left(e.call, e.request)}, e.request, !e.idempotent)
	e.sender.Counts.Sends.Inc()
	reply, body, err := e.sender.Link.Exchange(ctx, message)
	var unsent *link.NotSentError
	if errors.As(err, &unsent) {
		e.sender.Counts.Unsent.Inc()
		e.unsent++
		if !errors.Is(ctx.Err(), context.Canceled) {
			pick.Lost(err.Error())
		}
		return notSent{err: err}
	}
	e.sends++
	if err != nil {
		return lost{err: err}
	}
	return e.verdict(ctx, pick, reply, body, time.Since(began))
}

// patience returns how long one target is waited for: to the end if no other may be asked.
func (e *errand) patience(pick *picker.Pick) time.Duration {
	rest := send.Left(e.call, e.request)
	if !e.idempotent || e.sends+1 >= e.call.Route.Attempts {
		return rest
	}
	return min(rest, max(patienceMin, patienceFactor*pick.Latency()))
}

// verdict returns what a whole response says.
func (e *errand) verdict(ctx context.Context, pick *picker.Pick, reply *link.Reply, body []byte, took time.Duration) outcome {
	status := reply.Status()
	switch v := e.sender.Dialect.Judge(status, reply.Header()).(type) {
	case send.NotRun:
		if v.Misdirected {
			// The target that it was sent to is not there, so this one does not count among those that had the request.
			e.sends--
			e.unsent++
			e.sender.Misdirected(ctx, e.call, pick, v.Holder)
		}
		return notRun{status: status, misdirected: v.Misdirected}
	case send.Signed:
		if status < 500 {
			pick.Succeeded(took)
		}
		head := chain.Head{Status: status, Header: e.sender.Dialect.Response(reply.Header())}
		return answered{passed: chain.Passed{Head: head, Body: body, Sends: e.sends + e.unsent}}
	default:
		return lost{err: errors.Errorf("response with status %d proves nothing", status)}
	}
}
