package flight

import (
	"context"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/guard"
	"bramleywharf.example/entry/offer"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	// moveCheckInterval is the time between two checks of whether a silent stream can move.
	moveCheckInterval = 200 * time.Millisecond
	// refusalTimeout is how long after its last event a stream without an attempt is sent to targets that refused it
	// before; callers give up after 5.6 s, and the target that takes it may have to read the prompt.
	refusalTimeout = 4 * time.Second
)

// avoid adds a target to those that are not chosen while there are others.
func (s *stream) avoid(target site.Target) {
	avoided := s.avoided.Load().With(target.Name)
	s.avoided.Store(&avoided)
}

// considerMove offers the stream to another target for a silence of the current one, if it can go on elsewhere. The
// current attempt stays open until the other target takes the stream. A stream that the stop of this instance would end
// there does not leave a target that may be at work, and one that may crash targets runs at one at a time.
func (s *stream) considerMove(ctx context.Context, report guard.Silence) (chain.Answer, bool) {
	if report.LastEvent != s.current.monitor.LastEvent() {
		return nil, false
	}
	s.silence, s.current.silence = report, report
	if s.waits() && s.isBetterElsewhere() {
		s.mayHaveRun = true
		return s.stoppedAnswer(s.work(s.current, nil)), true
	}
	now := time.Now()
	if s.next != nil || now.Before(s.nextOfferAt) || errors.Is(report.Err, guard.ErrStreamLost) && s.begins.IsSuspect() {
		return nil, false
	}
	s.nextOfferAt = now.Add(moveCheckInterval)
	if _, isLost := report.Doubt().(retry.Lost); !isLost && s.sender.Stop.Cuts(s.call.Route.Name, s.request.Received, s.request.Deadline) {
		s.keep("the instance stops before the stream would end elsewhere")
		return nil, false
	}
	switch step := retry.Decide(s).(type) {
	case retry.Stay:
		s.keep(step.Reason)
	case retry.Move:
		s.avoid(s.current.pick.Target)
		if pick, from, ok := s.nextTarget(ctx); ok {
			s.next = s.open(ctx, pick, from)
			s.overlap = offer.NewOverlap()
			return nil, false
		}
		s.reservation.Return()
		if s.waits() {
			s.postponeOffer("no other target can begin at once")
		}
	}
	return nil, false
}

// handleOffer handles a step of the attempt that may take the place of the current one. The current one ends as the other
// target begins to answer; if that answer may have no event and not show its end, as its first event arrives.
func (s *stream) handleOffer(ctx context.Context, step offer.Step) (chain.Answer, bool) {
	if _, ok := step.(offer.Event); ok {
		if answer, done := s.move(ctx); done {
			return answer, true
		}
		return s.handleStep(ctx, step)
	}
	refused := s.next
	result := s.advance(ctx, refused, step)
	if result == nil {
		if s.head.IsSent() && !refused.accepted.StatesLength() {
			return nil, false
		}
		return s.move(ctx)
	}
	s.next, s.overlap = nil, offer.Overlap{}
	refused.close()
	s.current.pick.Stays()
	if answer, done := s.settle(ctx, refused, result); done {
		return answer, true
	}
	if r, ok := result.(notRun); ok && !r.received {
		s.nextOfferAt = time.Time{} // It cost no other target anything.
		return nil, false
	}
	s.postponeOffer("the target that it was offered to did not take it")
	return nil, false
}

// handleOfferState handles what the target of the offer does with the stream. Steps that have arrived say more.
func (s *stream) handleOfferState(ctx context.Context, state retry.OfferState) (chain.Answer, bool) {
	s.overlap = offer.NewOverlap()
	select {
	case step := <-s.current.steps():
		return s.handleStep(ctx, step)
	default:
	}
	select {
	case step := <-s.next.steps():
		return s.handleOffer(ctx, step)
	default:
	}
	switch decided := retry.DecideOverlap(s.silence.Doubt(), state).(type) {
	case retry.Replace:
		return s.move(ctx)
	case retry.Withdraw:
		s.avoid(s.next.pick.Target)
		s.withdrawOffer()
		s.postponeOffer(decided.Reason)
	case retry.Overlap:
	}
	return nil, false
}

// postponeOffer spaces the offers that other targets do not take, and records that the stream stays.
func (s *stream) postponeOffer(reason string) {
	s.spacing = s.spacing.WithRefusal()
	s.nextOfferAt = time.Now().Add(s.spacing.Delay())
	s.keep(reason)
}

// move closes the silent attempt and puts the next one in its place.
func (s *stream) move(ctx context.Context) (chain.Answer, bool) {
	silent := s.current
	s.current, s.next, s.overlap = s.next, nil, offer.Overlap{}
	silent.close()
	s.countMove(silent)
	if silent.received > 0 && errors.Is(s.silence.Err, guard.ErrStalled) {
		s.sender.Learn(s.service, func(p flow.PauseEstimate) flow.PauseEstimate { return p.WithCut(s.silence.Length) })
	}
	end := interruptedBy(s.silence.Err)
	return s.settle(ctx, silent, end)
}

// countMove counts and logs a stream that has left its silent target, by whether the next one has begun to answer.
func (s *stream) countMove(silent *attempt) {
	s.sender.Counts.Moved(s.current.hasBegun)
	fields := log.Fields{"request": s.call.ID, "target": silent.pick.Target.Name, "next": s.current.pick.Target.Name, "next-begun": s.current.hasBegun, "events": silent.received}
	s.sender.Log.WithFields(fields).Info("stream leaves its silent target")
}

// resetOffers ends the offer to another target, as the current one has sent an event.
func (s *stream) resetOffers() {
	s.spacing, s.nextOfferAt = retry.Spacing{}, time.Time{}
	s.withdrawOffer()
}

// withdrawOffer closes the attempt that was to take the place of the current one.
func (s *stream) withdrawOffer() {
	defer s.reservation.Return()
	if s.next == nil {
		return
	}
	withdrawn := s.next
	s.next, s.overlap = nil, offer.Overlap{}
	if r, ok := withdrawn.close().(offer.NotRun); ok {
		s.uncount(withdrawn, notRun{received: r.Received, misdirected: r.Misdirected})
	} else {
		s.mayHaveRun = true
	}
	s.current.pick.Stays()
	s.replicas.Discard(withdrawn.replica)
}

// keep records once for each silence that the stream stays with its target. New streams avoid the target until it sends
// again, unless the stream waits in its queue.
func (s *stream) keep(reason string) {
	a := s.current
	if a == nil {
		return
	}
	if !a.isSuspect && !s.waits() {
		a.isSuspect = true
		a.pick.Lost(s.silence.Err.Error())
	}
	if a.isKept {
		return
	}
	a.isKept = true
	s.sender.Counts.Kept.Inc()
	s.sender.Log.WithFields(log.Fields{
		"request":    s.call.ID,
		"target":     a.pick.Target.Name,
		"service":    s.service,
		"silence-ms": a.monitor.Elapsed().Milliseconds(),
		"cause":      reason,
	}).WithError(s.silence.Err).Info("stream stays with its silent target")
}

// MayRetry reports whether the stream may be sent to another target while the current attempt goes on.
func (s *stream) MayRetry() bool {
	return (s.hasAttemptsLeft() || s.mayAskRefusers()) && s.unsentCount <= maxUnsent && s.events.IsOrdered() && !s.isBlocked()
}

// HasAlternative reports whether another target can take the stream.
func (s *stream) HasAlternative() bool {
	own := s.current.pick.Target.Name
	if r := s.replicas.Current(); r != nil && r.Holder.Name != own && s.sender.Picker.IsSound(r.Holder) {
		return true
	}
	want := s.want()
	want.Avoid, want.Room = offer.Names{own: true}, s.waits()
	return s.sender.Picker.HasSound(want)
}

// waits reports whether the stream waits in the queue of its target, by the last silence.
func (s *stream) waits() bool {
	return s.current != nil && errors.Is(s.silence.Err, guard.ErrQueued)
}

// Reserve reserves a retry for the stream, unless the bound on retries is reached.
func (s *stream) Reserve() bool {
	return s.reservation.Reserve()
}

// mayAskRefusers reports whether a stream whose caller has the head may be sent once more to targets that refused it.
// They have received the request before, so that they do not count against the route's bound again.
func (s *stream) mayAskRefusers() bool {
	return len(s.refusers) > 0 && s.head.IsSent() && time.Since(s.timing.LastAt) < refusalTimeout
}

// waitAfterRefusal spaces the attempts of a stream whose caller has the head and that full targets refuse.
func (s *stream) waitAfterRefusal(ctx context.Context, result outcome) {
	r, ok := result.(notRun)
	if !ok || !r.received || !s.head.IsSent() {
		return
	}
	wait.Sleep(ctx, s.spacing.Delay())
	s.spacing = s.spacing.WithRefusal()
}
