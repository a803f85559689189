package flight

import (
	"context"
	"fmt"
	"time"

	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/event"
	"bramleywharf.example/entry/guard"
	"bramleywharf.example/entry/merge"
	"bramleywharf.example/entry/offer"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/pkg/errors"
)

// outcome is the sealed set of ways in which an attempt ends: completed, wholeResponse, notRun, interrupted,
// expired and callerGone.
type outcome interface {
	isOutcome()
}

// completed means that all events were delivered to the caller.
type completed struct{}

// wholeResponse means that the target itself answered with a status other than 200 instead of a stream.
type wholeResponse struct {
	response chain.Passed
}

// notRun means that no target has run the request.
type notRun struct {
	received    bool // a target received the request and refused it
	misdirected bool // another target has the address and refused; the intended one has ended
	unmet       bool // the target refuses the request whatever its load
	cause       string
}

// interrupted means that the response ended, or was given up, before the last event.
type interrupted struct {
	cause   string
	endedBy chain.Ending
	atBegin bool // the target broke off at the begin of its answer, and no target had passed that
}

// expired means that the route's timeout has passed before the first event.
type expired struct{}

// callerGone means that the caller no longer takes events.
type callerGone struct{}

func (completed) isOutcome()     {}
func (wholeResponse) isOutcome() {}
func (notRun) isOutcome()        {}
func (interrupted) isOutcome()   {}
func (expired) isOutcome()       {}
func (callerGone) isOutcome()    {}

// attempt runs a stream at one target.
type attempt struct {
	pick      *picker.Pick
	offer     *offer.Offer
	monitor   *guard.Monitor
	replica   *guard.Replica // replica that the attempt starts from, or nil
	holder    site.Target    // target that keeps a replica of this attempt, or the zero value
	startedAt time.Time
	isRepeat  bool           // whether a retry was counted for the attempt
	isCounted bool           // whether the attempt counts as one more target of the request
	accepted  offer.Accepted // response of a target that has begun to answer
	response  *merge.Response
	hasBegun  bool          // whether the target has begun to answer
	received  int           // events that were received
	firstAt   time.Time     // when the first of them was received
	isSuspect bool          // whether the target was reported as lost although the attempt goes on
	isKept    bool          // whether it was recorded that the stream stays with its silent target
	silence   guard.Silence // last silence that its monitor reported, or the zero value
}

// steps returns the channel of the attempt's steps, or nil for no attempt.
func (a *attempt) steps() <-chan offer.Step {
	if a == nil {
		return nil
	}
	return a.offer.Steps()
}

// silences returns the channel on which the attempt's monitor reports, or nil for no attempt.
func (a *attempt) silences() <-chan guard.Silence {
	if a == nil {
		return nil
	}
	return a.monitor.Silences()
}

// open starts an attempt at a target, from a replica unless that is nil.
func (s *stream) open(ctx context.Context, pick *picker.Pick, from *guard.Replica) *attempt {
	a := &attempt{pick: pick, replica: from, startedAt: time.Now(), response: s.events.NewResponse(), isRepeat: s.reservation.Take(), isCounted: !s.refusers.Has(pick.Target)}
	s.refusers = s.refusers.Without(pick.Target)
	if a.isCounted {
		s.sendCount++
	}
	s.choice.Sent(pick.Target, s.call.Route.Name, s.request.Prompt.Tokens())
	outgoing := send.Send{Call: s.call, Target: pick.Target, Left: time.Until(s.request.Deadline), After: s.events.LastID()}
	if from != nil {
		outgoing.Source = from.Source
	}
	a.holder, _ = s.replicas.ChooseHolder(pick.Target, "")
	outgoing.Backup = a.holder.Address
	// A kept connection may still return a copy of the response to the same id; a new one cannot.
	fresh := s.usedAddresses[pick.Target.Address]
	s.usedAddresses[pick.Target.Address] = true
	a.monitor = guard.Start(ctx, guard.Subject{
		Sender:       s.sender,
		Call:         s.call,
		Service:      s.service,
		Pick:         pick,
		PromptTokens: s.request.Prompt.Tokens(),
		FromReplica:  from != nil,
		Resumable:    s.policy.Resumable,
		Replicas:     s.replicas,
	})
	a.offer = offer.Start(ctx, s.sender, pick, outgoing, s.request, fresh)
	return a
}

// close ends an attempt. It returns a step of its offer that was not handled, or nil.
func (a *attempt) close() offer.Step {
	a.monitor.Stop()
	step := a.offer.Close()
	a.pick.Release()
	return step
}

// interruptedBy returns the outcome of an attempt that err has ended: the reason why it was given up, or the end of its
// connection.
func interruptedBy(err error) interrupted {
	return interrupted{cause: err.Error(), endedBy: guard.Ending(err)}
}

// advance handles a step of an attempt. It returns the outcome if that was the last one, otherwise nil.
func (s *stream) advance(ctx context.Context, a *attempt, step offer.Step) outcome {
	switch r := step.(type) {
	case offer.NotRun:
		return notRun{received: r.Received, misdirected: r.Misdirected, unmet: r.Unmet, cause: r.Cause}
	case offer.Answered:
		return wholeResponse{response: chain.Passed{Head: r.Head, Body: r.Body, Sends: s.sendCount + s.unsentCount}}
	case offer.Accepted:
		if foreign := r.ForeignType(); s.head.IsSent() && foreign != "" {
			return interruptedBy(errors.Errorf("response to a resumed stream is of type %s", foreign))
		}
		a.accepted, a.hasBegun = r, true
		s.replicas.Discard(a.replica) // It can be used once.
	case offer.Event:
		if result := s.relay(a, r); result != nil {
			return result
		}
	case offer.End:
		last := a.response.Release()
		if len(last) == 0 && !s.isEnd(a) {
			return interruptedBy(errors.New("response ended before its first event"))
		}
		if !a.accepted.Delimited() && s.sender.EndedByCrash(ctx, a.pick.Target) {
			return s.brokenOff(a, errors.New("target crashed as its response ended"))
		}
		if result := s.pass(a, last); result != nil {
			return result
		}
		s.begins.Answered()
		return completed{}
	case offer.Broken:
		return s.brokenOff(a, r.Err)
	}
	a.offer.Ask()
	return nil
}

// brokenOff returns the outcome of an attempt whose response broke off.
func (s *stream) brokenOff(a *attempt, err error) interrupted {
	end := interruptedBy(err)
	end.atBegin = end.endedBy == chain.EndedByTarget && !send.IsPastBegin(a.received, a.firstAt) && !s.begins.IsPassed()
	return end
}

// isEnd reports whether the end of the response is that of the stream. A response without an event that resumes a
// stream is taken for its end only if it says so itself: an empty list of events with a stated length.
func (s *stream) isEnd(a *attempt) bool {
	return a.received > 0 || s.head.IsSent() && a.accepted.StatesLength()
}

// relay takes an event of a response and delivers what is then known to belong to the stream. It returns the outcome if that
// ends the attempt, otherwise nil.
func (s *stream) relay(a *attempt, e offer.Event) outcome {
	a.monitor.RecordEvent()
	events, err := a.response.Take(e.Event, s.mayMove)
	if err != nil {
		return interruptedBy(err)
	}
	return s.pass(a, events)
}

// mayMove reports whether another target can take the stream at once, and reserves a retry for it.
func (s *stream) mayMove() bool {
	return s.policy.Resumable && s.MayRetry() && s.HasAlternative() && s.Reserve()
}

// pass delivers events to the caller. It returns the outcome if that ends the attempt, otherwise nil.
func (s *stream) pass(a *attempt, events []event.Event) outcome {
	for _, e := range events {
		s.resetOffers() // The caller may be slow to take the event; the other target must not run the stream meanwhile.
		a.isKept = false
		if a.isSuspect {
			a.isSuspect = false
			a.pick.Heard()
		}
		if a.received == 0 {
			a.firstAt = time.Now()
			a.pick.Read()
			a.pick.Heard()
			s.countResume(a)
			if a.holder.Name != "" {
				s.replicas.Track(a.holder)
			}
		}
		s.begins.Progressed(a.received, a.firstAt)
		if err := s.deliver(a, e); errors.Is(err, offer.ErrFirstEventTimeout) {
			return expired{}
		} else if err != nil {
			return callerGone{}
		}
		a.monitor.RecordEvent() // The target is not silent while the caller is slow to take its event.
	}
	return nil
}

// countResume counts a stream that went on at another target, by whether it did so from a replica.
func (s *stream) countResume(a *attempt) {
	if s.head.IsSent() {
		s.resumeCount++
		s.sender.Counts.Resumed(time.Since(s.timing.LastAt), a.replica != nil)
	}
}

// deliver sends one event to the caller, after the head of the response if that was not sent yet.
func (s *stream) deliver(a *attempt, e event.Event) error {
	if !s.head.IsSent() {
		if !s.head.Send() {
			return offer.ErrFirstEventTimeout
		}
		if err := s.request.Outlet.Begin(a.accepted.Head); err != nil {
			return fmt.Errorf("send head: %w", err)
		}
	}
	if err := s.request.Outlet.Event(e.Raw); err != nil {
		return fmt.Errorf("send event: %w", err)
	}
	s.timing.Delivered(s.sender, s.service, s.request.Received, a.received == 0)
	a.received++
	return nil
}
