package flight

import (
	"context"
	"fmt"
	"io"
	"mime"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/event"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/pkg/errors"
)

const (
	// progressCheckDelay is the wait for the first event after which the target's report is read instead of a probe;
	// most prompts are read by then.
	progressCheckDelay   = 2200 * time.Millisecond
	progressCheckTimeout = 400 * time.Millisecond // progressCheckTimeout bounds the request for that report.
	// reportLag is the age from which a request must be in its target's report; reports are some hundred
	// milliseconds old.
	reportLag     = 700 * time.Millisecond
	checkInterval = 40 * time.Millisecond // checkInterval is how often a monitor checks its attempt.
	// eventStreamType is the media type of streams.
	eventStreamType = "text/event-stream"
)

// outcome is the sealed set of ways in which an attempt ends: completed, wholeResponse, notRun, interrupted and
// callerGone.
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
	unreachable bool // the target could not be reached
	cause       string
}

// interrupted means that the response ended, or was given up, before the last event.
type interrupted struct {
	cause   string
	endedBy chain.Ending
	atBegin bool // the target broke off its answer after at most one whole event, and no target had sent more
}

// callerGone means that the caller no longer takes events.
type callerGone struct{}

func (completed) isOutcome()     {}
func (wholeResponse) isOutcome() {}
func (notRun) isOutcome()        {}
func (interrupted) isOutcome()   {}
func (callerGone) isOutcome()    {}

// attempt runs a stream at one target.
type attempt struct {
	stream  *stream
	pick    *picker.Pick
	monitor *monitor
	reply   *link.Reply
	source  send.Source
	holder  site.Target // target that keeps a replica of this attempt, or the zero value
}

// tryTarget runs the stream at one target, from a replica unless source is the zero value.
func (s *stream) tryTarget(ctx context.Context, pick *picker.Pick, source send.Source) outcome {
	s.attemptDelivered = false
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	monitor := startMonitor(ctx, s, pick, source != send.Source{}, cancel)
	defer monitor.stop()
	outgoing := send.Send{Call: s.call, Target: pick.Target, Left: time.Until(s.request.Deadline), After: s.lastEventID, Source: source}
	var holder site.Target
	if s.canReplicate {
		holder, _ = s.chooseHolder(pick.Target, "")
		outgoing.Backup = holder.Address
	}
	// A kept connection may still return a copy of the response to the same id; a new one cannot.
	fresh := s.usedAddresses[pick.Target.Address]
	s.usedAddresses[pick.Target.Address] = true
	s.sender.Counts.Sends.Inc()
	reply, err := s.sender.Link.Send(ctx, s.sender.Outgoing(outgoing, s.request, fresh))
	var notSentErr *link.NotSentError
	if errors.As(err, &notSentErr) {
		s.sender.Counts.Unsent.Inc()
		return notRun{unreachable: true, cause: err.Error()}
	}
	s.sendCount++
	if err != nil {
		return interruptedBy(ctx, err)
	}
	defer reply.Close()
	a := &attempt{stream: s, pick: pick, monitor: monitor, reply: reply, source: source, holder: holder}
	return a.handleResponse(ctx)
}

// chooseHolder chooses the target that keeps a replica of the stream while runner runs it. The target named by refused
// is left out.
func (s *stream) chooseHolder(runner site.Target, refused string) (site.Target, bool) {
	want := s.want()
	want.Avoid = map[string]bool{runner.Name: true, refused: true}
	for name := range s.avoidedTargets {
		want.Avoid[name] = true
	}
	return s.sender.Picker.Backup(want, runner.Domain)
}

// interruptedBy returns the outcome of an attempt whose connection ended with err. The cause is that of the context if
// it has ended.
func interruptedBy(ctx context.Context, err error) interrupted {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return interrupted{cause: err.Error(), endedBy: chain.EndedByTarget}
	case errors.Is(cause, errUnreachable):
		return interrupted{cause: cause.Error(), endedBy: chain.EndedByProbe}
	case errors.Is(cause, errStreamLost):
		return interrupted{cause: cause.Error(), endedBy: chain.EndedByReport}
	default:
		return interrupted{cause: cause.Error(), endedBy: chain.EndedBySilence}
	}
}

// handleResponse reads the response of the target and relays its events.
func (a *attempt) handleResponse(ctx context.Context) outcome {
	s, reply := a.stream, a.reply
	switch v := s.sender.Dialect.Judge(reply.Status(), reply.Header()).(type) {
	case send.NotRun:
		_, _ = reply.Whole() // The body is not needed; reading it lets the connection be reused.
		s.swapReplica(nil)
		if v.Misdirected {
			// The intended target has ended, so it does not count as one that may have received the request.
			s.sendCount--
			s.sender.Misdirected(ctx, s.call, a.pick, v.Holder)
		}
		return notRun{received: true, misdirected: v.Misdirected, cause: fmt.Sprintf("status %d", reply.Status())}
	case send.Unsigned:
		return interrupted{cause: fmt.Sprintf("response with status %d has no signature", reply.Status()), endedBy: chain.EndedByTarget}
	}
	head := chain.Head{Status: reply.Status(), Header: s.sender.Dialect.Response(reply.Header())}
	if reply.Status() != 200 {
		body, err := reply.Whole()
		if err != nil {
			return interruptedBy(ctx, err)
		}
		return wholeResponse{response: chain.Passed{Head: head, Body: body, Sends: s.sendCount + s.unsentCount}}
	}
	if mediaType := a.mediaType(); s.headSent.Load() && mediaType != "" && mediaType != eventStreamType {
		return interrupted{cause: fmt.Sprintf("response to a resumed stream is of type %s", mediaType), endedBy: chain.EndedByTarget}
	}
	return a.relayEvents(ctx, head)
}

// mediaType returns the media type of the response, or an empty text if it states none.
func (a *attempt) mediaType() string {
	mediaType, _, _ := mime.ParseMediaType(a.reply.Header().Get("Content-Type"))
	return mediaType
}

// isEnd reports whether the end of the response is that of the stream. A response without an event that resumes a
// stream is taken for its end only if it says so itself: an empty list of events with a stated length.
func (a *attempt) isEnd() bool {
	s := a.stream
	return s.attemptDelivered || s.headSent.Load() && a.reply.Delimited() && a.mediaType() == eventStreamType
}

// relayEvents delivers whole events to the caller until the response ends.
func (a *attempt) relayEvents(ctx context.Context, head chain.Head) outcome {
	s := a.stream
	reader := event.NewReader(a.reply)
	for received := 0; ; received++ {
		e, err := reader.Next()
		switch {
		case err == io.EOF && a.isEnd():
			s.sender.Blocks.Answered(s.request.Prompt.Shared())
			return completed{}
		case err == io.EOF:
			return interrupted{cause: "response ended before its first event", endedBy: chain.EndedByTarget}
		case err != nil:
			end := interruptedBy(ctx, err)
			end.atBegin = end.endedBy == chain.EndedByTarget && received < 2 && !s.wentOn
			return end
		case !event.Follows(s.lastEventID, e.ID):
			return interrupted{cause: fmt.Sprintf("event %s does not follow event %s", e.ID, s.lastEventID), endedBy: chain.EndedByTarget}
		}
		a.monitor.recordEvent()
		if received == 0 {
			a.pick.Read()
			a.pick.Heard()
			s.countResume(a.source)
			s.trackReplica(a.holder)
		}
		if received == 1 {
			s.wentOn = true
			s.sender.Blocks.Answered(s.request.Prompt.Shared())
		}
		if err := s.deliver(head, e); err != nil {
			return callerGone{}
		}
	}
}

// trackReplica records the replica at the holder, which the running engine keeps up to date from its first event on.
func (s *stream) trackReplica(holder site.Target) {
	if holder.Name == "" {
		return
	}
	s.swapReplica(&replica{
		holder:  holder,
		source:  send.Source{Address: holder.Address, Handle: s.call.ID},
		release: s.sender.Picker.Keep(holder),
	})
}

// countResume counts a stream that went on at another target, by whether it did so from a replica.
func (s *stream) countResume(source send.Source) {
	if !s.headSent.Load() {
		return
	}
	s.resumeCount++
	s.sender.Counts.Resume.Update(time.Since(s.lastEventAt).Seconds())
	if source == (send.Source{}) {
		s.sender.Counts.Rereads.Inc()
		return
	}
	s.sender.Counts.Copies.Inc()
}

// deliver sends one event to the caller, after the head of the response if that was not sent yet. The pause before
// the first event of an attempt says nothing about the pace of the engine and does not change its estimate.
func (s *stream) deliver(head chain.Head, e event.Event) error {
	if !s.headSent.Load() {
		if err := s.request.Outlet.Begin(head); err != nil {
			return err
		}
		s.headSent.Store(true)
	}
	if err := s.request.Outlet.Event(e.Raw); err != nil {
		return err
	}
	now := time.Now()
	if s.lastEventAt.IsZero() {
		s.firstEventDelay = now.Sub(s.request.Received)
		s.sender.Counts.First.Update(s.firstEventDelay.Seconds())
	} else {
		gap := now.Sub(s.lastEventAt)
		s.longestGap = max(s.longestGap, gap)
		s.sender.Counts.Pause.Update(gap.Seconds())
		if s.attemptDelivered {
			s.sender.Learn(s.service, func(p flow.PauseEstimate) flow.PauseEstimate { return p.WithPause(gap) })
		}
	}
	s.lastEventAt, s.attemptDelivered = now, true
	s.eventCount++
	if e.ID != "" {
		s.lastEventID = e.ID
	}
	return nil
}
