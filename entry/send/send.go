package send

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/block"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/merge"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/queue"
	"bramleywharf.example/entry/shift"
	"bramleywharf.example/entry/stop"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/sync/singleflight"
)

const (
	// idleConnShare is the part of a target's connections that may be idle. The rest is left for connections in use and
	// for instances that need more than their share.
	idleConnShare = 0.5

	// deadlineMargin is subtracted from a caller's deadline to leave time for the answer to reach the caller.
	deadlineMargin = 20 * time.Millisecond
)

// Send describes one request to a target, to be encoded by the dialect.
type Send struct {
	Call   chain.Call
	Target site.Target
	Left   time.Duration // Left is the time that the target may take.
	After  string        // After is the id of the event after which to resume, or empty.
	Source Source        // Source is the replica to resume from, or the zero value.
	Backup string        // Backup is the address of the target that should keep a replica of the run, or empty.
}

// Source identifies a replica of a run's prompt memory.
type Source struct {
	Address string // Address is that of the target that keeps the replica, or that made it on order.
	Handle  string // Handle identifies the replica at that target.
}

// Progress is what a target reports about one request; it is some hundred milliseconds old.
type Progress struct {
	Listed  bool // Listed tells that the target lists the request, as it does once the prompt is read.
	Events  int  // Events counts the events produced so far, 0 while the prompt is being read.
	Unnamed int  // Unnamed counts the requests that the target does not list: they wait or their prompt is being read.
	Waiting int  // Waiting counts those of them that wait.
	Total   int  // Total counts the events of all listed requests.
}

// MayWait reports whether the request may wait in the target's queue.
func (p Progress) MayWait() bool {
	return !p.Listed && p.Waiting > 0
}

// Load returns what the target reports of all its work.
func (p Progress) Load() flow.Load {
	return flow.Load{Waiting: p.Waiting, Unread: p.Unnamed, Events: p.Total}
}

// Verdict is the sealed set of what a response proves about the request: Signed, NotRun and Unsigned.
type Verdict interface {
	isVerdict()
}

// Signed is the verdict on a response that comes from the target that ran the request.
type Signed struct{}

// NotRun is the verdict on a response that guarantees that the request has not run and never will.
type NotRun struct {
	Misdirected bool   // Misdirected tells that another target answers at the address.
	Holder      string // Holder is the name of that target, or empty.
}

// Unsigned is the verdict on a response that proves nothing; the request may have run.
type Unsigned struct{}

func (Signed) isVerdict()   {}
func (NotRun) isVerdict()   {}
func (Unsigned) isVerdict() {}

// Dialect encodes requests to targets and decodes their responses.
type Dialect interface {
	// Header returns the headers of a request to a target.
	Header(s Send) map[string][]string
	// Copy returns the request that orders a runner, the target of a run, to replicate it to a holder.
	Copy(c chain.Call, runner, holder site.Target) link.Request
	// Copied returns the handle of the replica from the response to a Copy request.
	Copied(status int, body []byte) (handle string, ok bool)
	// Ask returns the request for a target's report of what it runs.
	Ask(target site.Target) link.Request
	// Progress returns the progress of a request from the response to an Ask request.
	Progress(id string, body []byte) (Progress, error)
	// StartID returns when the target that sent the response to an Ask request started, as in its declaration, or 0.
	StartID(body []byte) int64
	// Drop returns the request that frees a replica.
	Drop(s Source) link.Request
	// Judge returns what a response proves about the request.
	Judge(status int, header map[string][]string) Verdict
	// RetryAfter returns for how long the target that sent a response says that it refuses requests, or 0.
	RetryAfter(status int, header map[string][]string) time.Duration
	// IsLeaving reports whether the target that sent a response says in it that it is leaving.
	IsLeaving(header map[string][]string) bool
	// Response returns the response headers that are passed on to the caller.
	Response(header map[string][]string) chain.Header
}

// Settings configures a sender.
type Settings struct {
	Retries func() retry.Bound // Retries returns this instance's share of the fleet's limit on retries.
	Fleet   func() retry.Bound // Fleet returns the limit on the retries of all instances together.
	Size    func() int         // Size returns the number of instances, this one included.
	// AddressReuse returns how long after the end of a target its address stays with its service; 0 if that is unknown.
	AddressReuse func() time.Duration
	Blocks       *block.Block // Blocks holds the parts of prompts that crash targets.
	Stop         *stop.Stop   // Stop is that of this instance.
	Shift        *shift.Shift // Shift chooses the versions of targets, or is nil if roll-outs are off.
}

// Sender holds what requests to targets share: the connections, the choice of targets, retry limits and metrics.
type Sender struct {
	Link         *link.Link
	Picker       *picker.Picker
	Dialect      Dialect
	Log          log.Interface
	Counts       Counts
	Blocks       *block.Block
	Stop         *stop.Stop
	Queue        *queue.Queue // Queue holds the streams that wait for room at their targets.
	Shift        *shift.Shift
	Numbers      merge.Known // Numbers holds how services number the events of their streams.
	settings     Settings
	startedAt    time.Time
	paces        cell.Keyed[flow.PauseEstimate] // paces holds the pauses in each service's streams.
	retryWindows cell.Keyed[retry.Window]       // retryWindows holds the counts of each service's recent requests.
	crashes      singleflight.Group             // crashes joins the checks for the crash of one target.
}

// New returns a sender and makes the picker report its requests and retries to other instances.
func New(s Settings, l *link.Link, p *picker.Picker, d Dialect, logger log.Interface, set *metrics.Set) *Sender {
	endings := make(map[chain.Ending]*metrics.Counter, len(chain.Endings))
	for _, ending := range chain.Endings {
		endings[ending] = set.GetOrCreateCounter(fmt.Sprintf("bramleywharf_streams_interrupted_total{by=%q}", string(ending)))
	}
	sender := &Sender{
		Link:      l,
		Picker:    p,
		Dialect:   d,
		Log:       logger,
		Blocks:    s.Blocks,
		Stop:      s.Stop,
		Shift:     s.Shift,
		settings:  s,
		startedAt: time.Now(),
		Counts: Counts{
			Sends:    set.GetOrCreateCounter("bramleywharf_sends_total"),
			Unsent:   set.GetOrCreateCounter("bramleywharf_sends_failed_unsent_total"),
			Repeats:  set.GetOrCreateCounter("bramleywharf_sends_repeated_total"),
			Denied:   set.GetOrCreateCounter("bramleywharf_retries_denied_total"),
			Copies:   set.GetOrCreateCounter(`bramleywharf_streams_resumed_total{from="copy"}`),
			Orders:   set.GetOrCreateCounter("bramleywharf_copies_ordered_total"),
			Rereads:  set.GetOrCreateCounter(`bramleywharf_streams_resumed_total{from="prompt"}`),
			Severed:  set.GetOrCreateCounter("bramleywharf_streams_severed_total"),
			Silences: set.GetOrCreateCounter("bramleywharf_streams_silent_total"),
			Kept:     set.GetOrCreateCounter("bramleywharf_streams_kept_total"),
			Endings:  endings,
			First:    set.GetOrCreateHistogram("bramleywharf_first_event_seconds"),
			Pause:    set.GetOrCreateHistogram("bramleywharf_event_pause_seconds"),
			Resume:   set.GetOrCreateHistogram("bramleywharf_stream_resume_seconds"),

			Undecided: set.GetOrCreateCounter("bramleywharf_streams_moved_undecided_total"),
		},
	}
	sender.Queue = queue.New(queue.Settings{
		Rooms:      p,
		Size:       s.Size,
		HasQueue:   sender.hasQueue,
		IsStopping: func() bool { _, began := s.Stop.Period(); return began },
		Log:        logger,
		Set:        set,
	})
	p.Report(sender.recentUsage)
	return sender
}

// Request counts a caller's request to a service, on which the number of allowed retries depends.
func (s *Sender) Request(service string) {
	cell.TryUpdate(s.retryWindow(service), func(w retry.Window) (retry.Window, bool) {
		return w.WithRequest(time.Since(s.startedAt)), true
	})
}

// Repeat counts one retry of a request to a service and returns true, or returns false when no retry is left in this
// instance's share of the limit and in what the fleet leaves unused.
func (s *Sender) Repeat(service string) bool {
	ok := cell.TryUpdate(s.retryWindow(service), func(w retry.Window) (retry.Window, bool) {
		now := time.Since(s.startedAt)
		ownShare := s.settings.Retries()
		if next, ok := w.WithRetry(now, ownShare); ok {
			return next, true
		}
		used := s.Picker.Used(service)
		return w.WithOverdraft(now, retry.Overdraft{Requests: used.Requests, Retries: used.Retries, Fleet: s.settings.Fleet(), Own: ownShare})
	})
	if ok {
		s.Counts.Repeats.Inc()
	} else {
		s.Counts.Denied.Inc()
	}
	return ok
}

// Unrepeat takes back one retry that Repeat counted and that was not sent.
func (s *Sender) Unrepeat(service string) {
	cell.TryUpdate(s.retryWindow(service), func(w retry.Window) (retry.Window, bool) {
		return w.WithoutRetry(time.Since(s.startedAt)), true
	})
}

// recentUsage returns the requests and retries that this instance recently sent to each service.
func (s *Sender) recentUsage() []wire.Usage {
	var recentUsage []wire.Usage
	s.retryWindows.Range(func(service string, w retry.Window) bool {
		requests, retries := w.Counts(time.Since(s.startedAt))
		recentUsage = append(recentUsage, wire.Usage{Service: service, Requests: requests, Retries: retries})
		return true
	})
	return recentUsage
}

// Pace returns the estimate of the pauses between events in a service's streams.
func (s *Sender) Pace(service string) flow.PauseEstimate {
	return *s.paces.At(service).Load()
}

// Learn replaces the estimate of the pauses in a service's streams by the result of change, which may be called more
// than once.
func (s *Sender) Learn(service string, change func(flow.PauseEstimate) flow.PauseEstimate) {
	cell.TryUpdate(s.paces.At(service), func(p flow.PauseEstimate) (flow.PauseEstimate, bool) { return change(p), true })
}

// retryWindow returns the counts of recent requests and retries of a service.
func (s *Sender) retryWindow(service string) *atomic.Pointer[retry.Window] {
	return s.retryWindows.At(service)
}

// Limit returns the time by which a call needs its final answer: the route's timeout or, if it is earlier, the caller's
// deadline less a margin.
func Limit(call chain.Call, forward chain.Forward) time.Time {
	limit := forward.Deadline.Add(-deadlineMargin)
	if timeout, ok := Timeout(call, forward); ok && timeout.Before(limit) {
		return timeout
	}
	return limit
}

// Left returns how long a target may take: until the route's timeout or the caller's deadline, whichever is earlier.
func Left(call chain.Call, forward chain.Forward) time.Duration {
	limit := forward.Deadline
	if timeout, ok := Timeout(call, forward); ok && timeout.Before(limit) {
		limit = timeout
	}
	return time.Until(limit)
}

// Timeout returns when the timeout of a call's route passes, and whether the route has one. For a stream it limits only
// the wait for the first event, since a caller that receives events is not kept waiting.
func Timeout(call chain.Call, forward chain.Forward) (time.Time, bool) {
	return forward.Received.Add(call.Route.Timeout), call.Route.Timeout > 0
}

// Send sends a request to a target and returns its response once the head has been read, as Link does. If the response
// says that the target is leaving, the target gets no more requests, and none for a time if it refuses them for that time.
func (s *Sender) Send(ctx context.Context, target site.Target, r link.Request) (*link.Reply, error) {
	reply, err := s.Link.Send(ctx, r)
	if err == nil {
		if after := s.Dialect.RetryAfter(reply.Status(), reply.Header()); after > 0 {
			s.Picker.Pause(target, after)
		}
	}
	if err != nil || !s.Dialect.IsLeaving(reply.Header()) {
		return reply, err
	}
	if v, ok := s.Dialect.Judge(reply.Status(), reply.Header()).(NotRun); ok && v.Misdirected {
		target.Name, target.StartID = v.Holder, 0 // The target that holds the address has answered.
	}
	s.Picker.MarkLeaving(target)
	return reply, nil
}

// Exchange sends a request as Send does, and returns its response and the whole body.
func (s *Sender) Exchange(ctx context.Context, target site.Target, r link.Request) (*link.Reply, []byte, error) {
	return link.WithBody(s.Send(ctx, target, r))
}

// Outgoing returns the encoded request to a target; fresh asks for a connection that was not used before.
func (s *Sender) Outgoing(message Send, forward chain.Forward, fresh bool) link.Request {
	return link.Request{
		Address: message.Target.Address,
		Host:    forward.Host,
		Method:  forward.Method,
		Path:    forward.Path,
		Header:  s.Dialect.Header(message),
		Body:    forward.Body,
		Echo:    message.Call.ID,
		Fresh:   fresh,
		Idle:    s.maxIdleConns(message),
	}
}

// maxIdleConns returns how many idle connections this instance may keep to a target: an equal part of the target's
// limit for all instances, or 0 if there is no limit.
func (s *Sender) maxIdleConns(message Send) int {
	service, ok := message.Call.Site.Service(message.Target.Service)
	if !ok || service.MaxConns == 0 {
		return 0
	}
	return max(1, int(idleConnShare*float64(service.MaxConns))/max(1, s.settings.Size()))
}

// Unavailable refuses a call that was not run and may be sent again after a time.
func Unavailable(after time.Duration, format string, args ...any) chain.Answer {
	return chain.Refuse(deny.New(deny.KindUnavailable, format, args...).WithRetryAfter(after))
}

// Unknown refuses a call that may or may not have run.
func Unknown(kind deny.Kind, format string, args ...any) chain.Answer {
	return chain.Refuse(deny.New(kind, format, args...).WithExecuted(deny.ExecutedUnknown))
}
