package flight

import (
	"context"
	"maps"
	"slices"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/guard"
	"bramleywharf.example/entry/offer"
	"bramleywharf.example/entry/picker"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	// moveCheckInterval is the time between two checks of whether a silent stream can move.
	moveCheckInterval = 200 * time.Millisecond
	// overlapTimeout is how long a silent attempt stays open after the stream was offered to another target; full targets
	// refuse it at once.
	overlapTimeout = 250 * time.Millisecond
	// refusalTimeout is how long after its last event a stream without an attempt is sent to targets that refused it
	// before; callers give up after 5.6 s, and the target that takes it may have to read the prompt.
	refusalTimeout = 4 * time.Second
)

// names is an immutable set of names of targets.
type names map[string]bool

// with returns the set with one more name.
func (n names) with(name string) names {
	next := make(names, len(n)+1)
	maps.Copy(next, n)
	next[name] = true
	return next
}

// avoid adds a target to those that are not chosen while there are others.
func (s *stream) avoid(target site.Target) {
	avoided := s.avoided.Load().with(target.Name)
	s.avoided.Store(&avoided)
}

// considerMove offers the stream to another target for a silence of the current one, if it can go on elsewhere. The
// current attempt stays open until the other target takes the stream.
func (s *stream) considerMove(ctx context.Context, report guard.Silence) {
	now := time.Now()
	if s.next != nil || now.Before(s.nextOfferAt) || report.LastEvent != s.current.monitor.LastEvent() {
		return
	}
	s.nextOfferAt = now.Add(moveCheckInterval)
	s.silence = report
	switch step := retry.Decide(s).(type) {
	case retry.Stay:
		s.keep(step.Reason)
	case retry.Move:
		s.avoid(s.current.pick.Target)
		if pick, from, ok := s.nextTarget(ctx); ok {
			s.next = s.open(ctx, pick, from)
			s.overlap = time.After(overlapTimeout)
			return
		}
		s.reservation.Return()
	}
}

// handleOffer handles the first step of the attempt that may take the place of the current one.
func (s *stream) handleOffer(ctx context.Context, step offer.Step) (chain.Answer, bool) {
	refused := s.next
	result := s.advance(refused, step)
	if result == nil {
		return s.move(ctx)
	}
	s.next, s.overlap = nil, nil
	refused.close()
	s.current.pick.Stays()
	if answer, done := s.settle(ctx, refused, result); done {
		return answer, true
	}
	if r, ok := result.(notRun); ok && !r.received {
		s.nextOfferAt = time.Time{} // It cost no other target anything.
		return nil, false
	}
	s.spacing = s.spacing.WithRefusal()
	s.nextOfferAt = time.Now().Add(s.spacing.Delay())
	s.keep("the target that it was offered to did not take it")
	return nil, false
}

// move closes the silent attempt and puts the next one in its place.
func (s *stream) move(ctx context.Context) (chain.Answer, bool) {
	silent := s.current
	s.current, s.next, s.overlap = s.next, nil, nil
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
	s.sender.Counts.Silences.Inc()
	if !s.current.hasBegun {
		s.sender.Counts.Undecided.Inc()
	}
	s.sender.Log.WithFields(log.Fields{
		"request":    s.call.ID,
		"target":     silent.pick.Target.Name,
		"next":       s.current.pick.Target.Name,
		"next-begun": s.current.hasBegun,
		"events":     silent.received,
	}).Info("stream leaves its silent target")
}

// withdrawOffer closes the attempt that was to take the place of the current one, whose target has sent an event.
func (s *stream) withdrawOffer() {
	s.spacing, s.nextOfferAt = retry.Spacing{}, time.Time{}
	defer s.reservation.Return()
	if s.next == nil {
		return
	}
	withdrawn := s.next
	s.next, s.overlap = nil, nil
	if r, ok := withdrawn.close().(offer.NotRun); ok {
		s.uncount(withdrawn, notRun{received: r.Received, misdirected: r.Misdirected})
	}
	s.current.pick.Stays()
	s.replicas.Discard(withdrawn.replica)
}

// keep records once for each silence that the stream stays with its target. New streams avoid the target until it sends
// again.
func (s *stream) keep(reason string) {
	a := s.current
	if a == nil || a.isSuspect {
		return
	}
	a.isSuspect = true
	a.pick.Lost(s.silence.Err.Error())
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
	return (s.hasAttemptsLeft() || s.mayAskRefusers()) && s.unsentCount <= maxUnsent && s.hasOrder() && !s.isBlocked()
}

// HasAlternative reports whether another target can take the stream.
func (s *stream) HasAlternative() bool {
	return s.sender.Picker.HasSound(picker.Want{Service: s.service, Avoid: map[string]bool{s.current.pick.Target.Name: true}})
}

// Reserve reserves a retry for the stream, unless the bound on retries is reached.
func (s *stream) Reserve() bool {
	return s.reservation.Reserve()
}

// removeRefuser removes a target from those that refused the stream, and reports whether it was one of them.
func (s *stream) removeRefuser(target site.Target) bool {
	before := len(s.refusers)
	s.refusers = slices.DeleteFunc(s.refusers, target.IsSameStart)
	return len(s.refusers) < before
}

// addRefuser puts a target behind all others that refused the stream.
func (s *stream) addRefuser(target site.Target) {
	s.removeRefuser(target)
	s.refusers = append(s.refusers, target)
}

// mayAskRefusers reports whether a stream whose caller has the head may be sent once more to targets that refused it.
// They have received the request before, so that they do not count against the route's bound again.
func (s *stream) mayAskRefusers() bool {
	return len(s.refusers) > 0 && s.headSent.Load() && time.Since(s.lastEventAt) < refusalTimeout
}

// waitAfterRefusal spaces the attempts of a stream whose caller has the head and that full targets refuse.
func (s *stream) waitAfterRefusal(ctx context.Context, result outcome) {
	r, ok := result.(notRun)
	if !ok || !r.received || !s.headSent.Load() {
		return
	}
	wait.Sleep(ctx, s.spacing.Delay())
	s.spacing = s.spacing.WithRefusal()
}
