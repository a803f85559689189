package flight

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/guard"
	"bramleywharf.example/entry/merge"
	"bramleywharf.example/entry/offer"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"bramleywharf.example/entry/shift"
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

// stream is the state of one streamed request over all its attempts. One goroutine owns it; others use only the atomic
// fields and those that never change.
type stream struct {
	sender         *send.Sender
	call           chain.Call
	request        chain.Forward
	policy         site.Stream
	service        string
	memoryTokens   int                         // capacity of one target in tokens, or 0
	avoided        atomic.Pointer[offer.Names] // targets that failed an attempt; also read by monitors
	current        *attempt                    // attempt whose events the caller gets, or nil
	next           *attempt                    // attempt that may take the place of current, or nil
	overlap        offer.Overlap               // time in which the stream is open at both; the zero value without next
	silence        guard.Silence               // why next was opened
	spacing        retry.Spacing               // time to leave between the offers that are refused
	nextOfferAt    time.Time                   // time before which no other target is offered the stream
	refusers       offer.Refusers              // targets that may be asked again
	usedAddresses  map[string]bool             // addresses that the request was sent to
	sendCount      int                         // attempts whose target may have received the request
	unsentCount    int                         // attempts that did not reach the intended target
	resumeCount    int                         // times the stream went on at another target after its first event
	begins         *send.Begins                // targets that were lost at the begin of their answers
	timing         offer.Timing                // when events were delivered to the caller
	events         *merge.Stream               // events that the caller has
	head           offer.Head                  // what has become of the head of the response
	mayHaveRun     bool                        // whether a target may have run the request
	reservation    *send.Reservation
	choice         *shift.Choice // version of the targets
	endedBy        chain.Ending  // what ended the last interrupted attempt, or empty
	failedResponse *chain.Passed // a target's error response, passed on if no other attempt succeeds
	replicas       *guard.Replicas
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
			if s.head.Expire() {
				expire(offer.ErrFirstEventTimeout)
			}
		})
		defer timer.Stop()
	}
	return s.run(ctx)
}

// newStream returns a stream whose request has not been sent.
func newStream(sender *send.Sender, c chain.Call, f chain.Forward, policy site.Stream) *stream {
	s := &stream{
		sender:        sender,
		call:          c,
		request:       f,
		policy:        policy,
		service:       c.Route.PickService(rand.Float64()),
		usedAddresses: make(map[string]bool),
		begins:        send.NewBegins(sender, c, f),
	}
	s.events = merge.NewStream(&sender.Numbers, s.service, f.LastEvent)
	s.reservation = sender.NewReservation(s.service)
	s.choice = sender.Shift.Choose(s.service, c.ID)
	s.avoided.Store(&offer.Names{})
	keepsReplicas, replicaTTL := false, time.Duration(0)
	if service, ok := c.Site.Service(s.service); ok && service.Engine != nil {
		s.memoryTokens = service.Engine.CapacityTokens
		keepsReplicas, replicaTTL = service.Engine.KeepsReplicas && policy.Resumable, service.Engine.ReplicaTTL
	}
	s.replicas = guard.NewReplicas(sender, c, s.want, keepsReplicas, replicaTTL)
	return s
}

// run sends the request to one target after another until the stream is complete or may not go on.
func (s *stream) run(ctx context.Context) chain.Answer {
	s.sender.Request(s.service)
	defer s.replicas.Free(ctx)
	defer s.reservation.Return()
	defer s.closeAttempts()
	if reason := s.sender.Queue.Enter(ctx, s.call, s.request, s.service); reason != "" {
		return s.giveUp(ctx, chain.Between{}, reason)
	}
	for {
		if s.isBetterElsewhere() {
			return s.stoppedAnswer(chain.Between{})
		}
		pick, from, ok := s.chooseTarget(ctx)
		if !ok {
			return s.giveUp(ctx, chain.Between{}, "no target of the service is left")
		}
		if s.isBlocked() {
			pick.Release()
			return s.finalAnswer(send.BlockedReason)
		}
		s.current = s.open(ctx, pick, from)
		for s.current != nil {
			if answer, done := s.await(ctx); done {
				return answer
			}
		}
	}
}

// await waits for the next step of an attempt or the next report on a silence. It returns the answer to the caller and
// true, or nil and false if the stream goes on. Without a current attempt, another one may then be opened.
func (s *stream) await(ctx context.Context) (chain.Answer, bool) {
	select {
	case step := <-s.current.steps():
		return s.handleStep(ctx, step)
	case step := <-s.next.steps():
		return s.handleOffer(ctx, step)
	case <-s.current.response.Due():
		return s.finish(ctx, s.pass(s.current, s.current.response.Release()))
	case report := <-s.current.silences():
		return s.considerMove(ctx, report)
	case <-s.overlap.Check():
		s.overlap = s.overlap.WithQuestion(ctx, s.sender, s.next.pick.Target, s.call.ID)
	case state := <-s.overlap.State():
		return s.handleOfferState(ctx, state)
	}
	return nil, false
}

// handleStep handles a step of the current attempt.
func (s *stream) handleStep(ctx context.Context, step offer.Step) (chain.Answer, bool) {
	return s.finish(ctx, s.advance(ctx, s.current, step))
}

// finish handles the outcome of the current attempt, which is nil while it goes on.
func (s *stream) finish(ctx context.Context, result outcome) (chain.Answer, bool) {
	if result == nil {
		return nil, false
	}
	ended := s.current
	s.current, s.next, s.overlap = s.next, nil, offer.Overlap{}
	ended.close()
	if answer, done := s.settle(ctx, ended, result); done {
		return answer, true
	}
	if s.current == nil {
		return s.retryOrFinish(ctx, result)
	}
	if r, ok := result.(interrupted); ok && r.atBegin && (s.begins.Exhausted(ctx) || s.isBlocked()) {
		return s.finalAnswer(send.CrashReason), true
	}
	return nil, false
}

// closeAttempts closes the attempts that are open.
func (s *stream) closeAttempts() {
	for _, a := range []*attempt{s.current, s.next} {
		if a != nil {
			a.close()
		}
	}
	s.current, s.next = nil, nil
}

// chooseTarget returns the target of the next attempt, with the replica to start from or nil. It waits for a target to
// become available.
func (s *stream) chooseTarget(ctx context.Context) (*picker.Pick, *guard.Replica, bool) {
	timeout := firstTargetTimeout
	if s.head.IsSent() {
		timeout = nextTargetTimeout
	}
	deadline := time.Now().Add(timeout)
	for {
		if pick, from, ok := s.nextTarget(ctx); ok {
			return pick, from, true
		}
		if time.Now().After(deadline) || !wait.Sleep(ctx, targetPollInterval) {
			return nil, nil, false
		}
	}
}

// nextTarget returns a target for one more attempt if there is one now. The holder of a replica comes first. When no
// target is left, those that failed an attempt are tried again. When the request was sent to as many targets as its
// route allows, only those that refused it come into question.
func (s *stream) nextTarget(ctx context.Context) (*picker.Pick, *guard.Replica, bool) {
	if !s.hasAttemptsLeft() {
		for _, target := range s.refusers {
			if pick, ok := s.sender.Picker.StreamAt(target, s.want()); ok && s.mayTake(ctx, pick) {
				return pick, nil, true
			}
		}
		return nil, nil, false
	}
	if r := s.replicas.Current(); r != nil {
		// The current attempt may have started from this replica and not have used it yet.
		if want := s.want(); !want.Avoid[r.Holder.Name] {
			if pick, ok := s.sender.Picker.Sound(r.Holder, want); ok {
				return pick, r, true
			}
		}
		s.replicas.Discard(r)
	}
	want := s.want()
	want.Room = s.waits()
	if pick, ok := s.sender.PickStream(ctx, want); ok {
		if s.mayTake(ctx, pick) {
			return pick, nil, true
		}
		if s.waits() {
			s.avoid(pick.Target) // Another one may have no queue.
			return nil, nil, false
		}
	}
	avoided := offer.Names{}
	if s.current != nil {
		avoided = avoided.With(s.current.pick.Target.Name)
	}
	s.avoided.Store(&avoided)
	return nil, nil, false
}

// mayTake reports whether a picked target may take the stream, and releases it if not. A suspect target may only take a
// stream that has no target.
func (s *stream) mayTake(ctx context.Context, pick *picker.Pick) bool {
	if s.current == nil || s.sender.Picker.IsSound(pick.Target) && s.wouldBegin(ctx, pick) {
		return true
	}
	pick.Release()
	s.current.pick.Stays()
	return false
}

// wouldBegin reports whether a stream that waits in a queue would begin at once at a picked target. An offer takes one of
// the stream's attempts and a retry.
func (s *stream) wouldBegin(ctx context.Context, pick *picker.Pick) bool {
	return !s.waits() || s.sender.HasNoQueue(ctx, pick.Target)
}

// want returns the criteria by which the picker chooses a target.
func (s *stream) want() picker.Want {
	session := s.request.Prompt.Session()
	if session == "" {
		session = s.call.ID
	}
	return picker.Want{Service: s.service, Session: session, Prompt: s.request.Prompt.Tokens(), Memory: s.memoryTokens, Avoid: *s.avoided.Load(), Version: s.choice.Versions()}
}

// hasAttemptsLeft reports whether the route allows the request to be sent to one more target.
func (s *stream) hasAttemptsLeft() bool {
	return s.sendCount < max(1, s.call.Route.MaxAttempts)
}

// isBlocked reports whether a part of the prompt is known to crash targets. A stream whose answer has passed its begin does not.
func (s *stream) isBlocked() bool {
	return !s.begins.IsPassed() && s.begins.Blocked()
}
