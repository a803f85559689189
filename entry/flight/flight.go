package flight

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	streamRetry = 600 * time.Millisecond  // streamRetry is when callers of streams should come back; engines of a failure domain are back after a second or so.
	maxUnsent   = 8                       // maxUnsent bounds the targets that one stream could not be sent to.
	targetWait  = 400 * time.Millisecond  // targetWait is how long a stream waits for a target before it is refused; an eighth of the sheet's aim of 4.5 s is free.
	resumeWait  = 1500 * time.Millisecond // resumeWait is how long a begun stream waits for a target; its caller gives it up after 5.6 s of silence.
	targetPause = 50 * time.Millisecond   // targetPause is the time between two looks for a target.
)

// flight is a stream on its way; one goroutine owns it.
type flight struct {
	sender   *send.Sender
	call     chain.Call
	request  chain.Forward
	policy   site.Stream
	service  string
	copies   bool          // copies tells that targets keep copies for each other.
	memory   int           // memory is the capacity of one target in tokens, or 0.
	copyLife time.Duration // copyLife is the age at which a copy that was ordered is ordered again.
	avoid    map[string]bool
	sends    int
	unsent   int
	resumed  int
	events   int
	last     string      // last is the id of the last event that the caller has.
	begun    atomic.Bool // begun tells that the caller has the head of the response.
	ran      bool        // ran tells that a target may have run the request.
	failure  *chain.Passed
	copied   atomic.Pointer[copied] // copied is the copy of the run that began last, or nil.
	sent     time.Time              // sent is when the last event was delivered.
	steady   bool                   // steady tells that the last event came from the run that is under way.
	first    time.Duration
	pause    time.Duration
}

// copied is a copy of a run at another target.
type copied struct {
	holder  site.Target
	source  send.Source
	ordered time.Time // ordered is when the copy was ordered; zero for one that grows with its run.
	release func()    // release counts the copy off.
}

// Run runs a stream until it is complete, refused or cut, or its caller has left.
func Run(ctx context.Context, s *send.Sender, c chain.Call, f chain.Forward, policy site.Stream) chain.Answer {
	ctx, cancel := context.WithDeadline(ctx, f.Deadline)
	defer cancel()
	g := newFlight(s, c, f, policy)
	ctx, expire := context.WithCancelCause(ctx)
	defer expire(nil)
	if at, ok := send.Timeout(c, f); ok {
		timer := time.AfterFunc(time.Until(at), func() {
			if !g.begun.Load() {
				expire(errTimeout)
			}
		})
		defer timer.Stop()
	}
	return g.run(ctx)
}

// errTimeout ends a stream whose first event did not come within its route's timeout.
var errTimeout = errors.New("the route's timeout passed before the first event")

// inTime tells whether a stream that was ended had time left, so that its caller is gone.
func inTime(ctx context.Context) bool {
	return ctx.Err() == nil || !errors.Is(ctx.Err(), context.DeadlineExceeded) && !errors.Is(context.Cause(ctx), errTimeout)
}

// newFlight returns a stream that has not been sent.
func newFlight(s *send.Sender, c chain.Call, f chain.Forward, policy site.Stream) *flight {
	g := &flight{
		sender:  s,
		call:    c,
		request: f,
		policy:  policy,
		service: c.Route.Pick(rand.Float64()),
		avoid:   make(map[string]bool),
		last:    f.LastEvent,
	}
	if service, ok := c.Site.Service(g.service); ok && service.Engine != nil {
		g.copies = service.Engine.Copies && policy.Resumable
		g.memory = service.Engine.Memory
		g.copyLife = time.Duration(copyLife * float64(service.Engine.Keep))
	}
	return g
}

// run sends the request and goes on elsewhere until the stream is complete or may not go on.
func (g *flight) run(ctx context.Context) chain.Answer {
	g.sender.Request(g.service)
	defer g.dropCopy(ctx)
	for {
		pick, source, ok := g.choose(ctx)
		if !ok {
			return g.giveUp(ctx, "no target of the service is left")
		}
		began := time.Now()
		result := g.attempt(ctx, pick, source)
		pick.Release()
		if answer, done := g.judge(ctx, pick, result, began); done {
			return answer
		}
	}
}

// choose returns the next target, and the copy to go on from if that target has one.
func (g *flight) choose(ctx context.Context) (*picker.Pick, send.Source, bool) {
	if c := g.swapCopy(nil); c != nil {
		if pick, ok := g.sender.Picker.Sound(c.holder, g.want()); ok {
			return pick, c.source, true
		}
	}
	patience := targetWait
	if g.begun.Load() {
		patience = resumeWait
	}
	until := time.Now().Add(patience)
	for {
		pick, ok := g.sender.Picker.Stream(g.want())
		if ok {
			return pick, send.Source{}, true
		}
		clear(g.avoid)
		if time.Now().After(until) || !wait.For(ctx, targetPause) {
			return nil, send.Source{}, false
		}
	}
}

// want describes the target that is needed.
func (g *flight) want() picker.Want {
	session := g.request.Session
	if session == "" {
		session = g.call.ID
	}
	return picker.Want{Service: g.service, Session: session, Prompt: g.request.Prompt, Memory: g.memory, Avoid: g.avoid}
}

// judge decides what follows from the end of an attempt.
func (g *flight) judge(ctx context.Context, pick *picker.Pick, result ending, began time.Time) (chain.Answer, bool) {
	if _, done := result.(complete); !done && ctx.Err() != nil {
		g.ran = g.ran || ranAt(result)
		return g.giveUp(ctx, "time is up"), true
	}
	switch r := result.(type) {
	case complete:
		return chain.Finished{Events: g.events, Resumed: g.resumed, First: g.first, Pause: g.pause}, true
	case refusedBy:
		if !g.begun.Load() && !(r.passed.Failed() && g.policy.Resumable) {
			return r.passed, true
		}
		pick.Failed()
		g.failure = &r.passed
	case unwanted:
		return chain.Left{}, true
	case unrun:
		g.drop(pick, r.lost, r.cause)
	case broken:
		g.drop(pick, true, r.cause)
	}
	g.avoid[pick.Target.Name] = true
	g.ran = g.ran || ranAt(result)
	g.note(pick, result, began)
	return g.again(result)
}

// copyAt names the target that holds the copy, or is empty.
func (g *flight) copyAt() string {
	if c := g.copied.Load(); c != nil {
		return c.holder.Name
	}
	return ""
}

// ranAt tells whether a target may have run the request.
func ranAt(result ending) bool {
	_, unran := result.(unrun)
	return !unran
}

// swapCopy puts another copy in the place of the one there was, and returns that.
func (g *flight) swapCopy(next *copied) *copied {
	old := g.copied.Swap(next)
	if old != nil {
		old.release()
	}
	return old
}

// drop tells the picker of a failed attempt.
func (g *flight) drop(pick *picker.Pick, lost bool, cause string) {
	if lost {
		pick.Lost(cause)
		return
	}
	pick.Failed()
}

// again tells whether the stream may go on at another target.
func (g *flight) again(result ending) (chain.Answer, bool) {
	if r, ok := result.(unrun); ok && (!r.sent || r.moved) {
		g.unsent++
		if g.unsent <= maxUnsent && (!r.moved || g.sender.Repeat(g.service)) {
			return nil, false
		}
	}
	reason := ""
	switch {
	case g.ran && !g.policy.Resumable:
		reason = "its target failed and it may not be resumed"
	case g.sends >= g.call.Route.Attempts:
		reason = "its attempts are used up"
	case !g.sender.Repeat(g.service):
		reason = "the retry bound is reached"
	default:
		return nil, false
	}
	return g.conclude(reason), true
}

// conclude answers when the stream goes on nowhere.
func (g *flight) conclude(reason string) chain.Answer {
	switch {
	case g.begun.Load():
		g.sender.Counts.Severed.Inc()
		return chain.Severed{Reason: reason}
	case g.failure != nil:
		return *g.failure
	case g.ran && !g.policy.Resumable:
		return send.Unknown(deny.KindOutcome, "%s; the request may have run", reason)
	case g.ran:
		return send.Unknown(deny.KindOutcome, "%s", reason)
	default:
		return send.Unavailable(streamRetry, "%s", reason)
	}
}

// giveUp answers when time is up, the caller has left or no target is there.
func (g *flight) giveUp(ctx context.Context, reason string) chain.Answer {
	switch {
	case ctx.Err() == nil:
		return g.conclude(reason)
	case inTime(ctx):
		return chain.Left{}
	case g.begun.Load() || g.failure != nil || !g.ran:
		return g.conclude(reason)
	default:
		return send.Unknown(deny.KindTimeout, "no event in time")
	}
}

// note logs the end of an attempt that did not complete the stream.
func (g *flight) note(pick *picker.Pick, result ending, began time.Time) {
	fields := log.Fields{
		"request":  g.call.ID,
		"target":   pick.Target.Name,
		"domain":   pick.Target.Domain,
		"service":  g.service,
		"sends":    g.sends,
		"events":   g.events,
		"last":     g.last,
		"after-ms": time.Since(began).Milliseconds(),
		"holder":   g.copyAt(),
	}
	switch r := result.(type) {
	case unrun:
		g.sender.Log.WithFields(fields).WithField("cause", r.cause).Info("target did not run the stream")
	case broken:
		if !g.sent.IsZero() {
			fields["silence-ms"] = time.Since(g.sent).Milliseconds()
		}
		g.sender.Log.WithFields(fields).WithField("cause", r.cause).Info("stream was cut")
	case refusedBy:
		g.sender.Log.WithFields(fields).WithField("status", r.passed.Head.Status).Info("target failed the stream")
	}
}
