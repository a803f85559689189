package pass

import (
	"context"
	"time"

	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/pkg/errors"
)

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

// attempt is one send of a request to a target.
type attempt struct {
	pick     *picker.Pick
	trial    *send.Trial
	isRepeat bool // whether a retry was counted for the attempt
	reported bool // whether the picker knows that the target failed the request
	cancel   context.CancelFunc
}

// completion is an attempt that has ended, with its outcome.
type completion struct {
	attempt *attempt
	outcome outcome
}

// newAttempt returns an attempt, and the function that sends its message and passes its outcome to
// completions.
func newAttempt(ctx context.Context, s *send.Sender, call chain.Call, pick *picker.Pick, message link.Request, completions chan<- completion) (a *attempt, exchange func()) {
	ctx, cancel := context.WithCancel(ctx)
	a = &attempt{pick: pick, trial: s.NewTrial(pick.Target, call.Route.Name), cancel: cancel}
	s.Counts.Sends.Inc()
	return a, func() { completions <- completion{attempt: a, outcome: a.exchange(ctx, s, call, message)} }
}

// reportFailure tells the picker once that the target failed the request.
func (a *attempt) reportFailure() {
	if !a.reported {
		a.pick.Failed()
		a.reported = true
	}
}

// exchange sends the message and returns the outcome.
func (a *attempt) exchange(ctx context.Context, s *send.Sender, call chain.Call, message link.Request) outcome {
	startedAt, sent := time.Now(), s.Stamp()
	reply, body, err := s.Exchange(ctx, a.pick.Target, message)
	if link.IsNotSent(err) {
		s.Counts.Unsent.Inc()
		if !errors.Is(ctx.Err(), context.Canceled) {
			a.pick.Lost(err.Error())
		}
		return notSent{err: err}
	}
	if err != nil {
		return unconfirmed{err: err}
	}
	status := reply.Status()
	switch v := s.Dialect.Judge(status, reply.Header()).(type) {
	case send.NotRun:
		return notRun{status: status, misdirected: v.Misdirected && s.Misdirected(ctx, a.pick, v.Holder)}
	case send.Signed:
		s.Answered(a.pick, sent)
		if status < 500 {
			a.pick.Succeeded(time.Since(startedAt))
		}
		return answered{response: chain.Passed{Head: chain.Head{Status: status, Header: s.Dialect.Response(reply.Header())}, Body: body}}
	default:
		return unconfirmed{err: errors.Errorf("response with status %d has no signature", status)}
	}
}
