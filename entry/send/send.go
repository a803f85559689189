package send

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	idleShare      = 0.5                   // idleShare is the part of a target's connections that idle ones may take; the rest is for those in use and for instances that have more than their share.
	deadlineMargin = 20 * time.Millisecond // deadlineMargin is kept back from a caller's deadline for the way of the answer.
)

// Send describes one request to a target, for its encoding.
type Send struct {
	Call   chain.Call
	Target site.Target
	Left   time.Duration // Left is the time that the target may take.
	After  string        // After is the id of the event to go on after, or empty.
	Source Source        // Source is the copy to go on from, or the zero value.
	Backup string        // Backup is the address of the target that should keep a copy of the run, or empty.
}

// Source names a copy of a run.
type Source struct {
	Address string // Address is that of the target which keeps the copy, or which made it on order.
	Handle  string // Handle names the copy there.
}

// Progress is what a target says of one request, as of some hundred milliseconds before.
type Progress struct {
	Listed  bool // Listed tells that the target names the request among those that produce events.
	Events  int  // Events counts the events made so far; a request whose prompt is being read has none.
	Unnamed int  // Unnamed counts the requests that wait there or whose prompt is being read.
}

// Verdict is the sealed set of what a response says of itself: Signed, NotRun and Unsigned.
type Verdict interface {
	isVerdict()
}

// Signed responses were made by the target that ran the request.
type Signed struct{}

// NotRun responses promise that the request has not run and never will.
type NotRun struct {
	Misdirected bool   // Misdirected tells that another target has the address.
	Holder      string // Holder names that target, or is empty.
}

// Unsigned responses prove nothing.
type Unsigned struct{}

func (Signed) isVerdict()   {}
func (NotRun) isVerdict()   {}
func (Unsigned) isVerdict() {}

// Dialect encodes requests for targets and reads what their responses say.
type Dialect interface {
	// Header returns the headers of a request to a target.
	Header(s Send) map[string][]string
	// Copy returns the call that orders the target of a run to copy it to another target.
	Copy(c chain.Call, runner, holder site.Target) link.Request
	// Copied returns the handle of a copy from the response to such a call.
	Copied(status int, body []byte) (handle string, ok bool)
	// Ask returns the call that asks a target what it runs.
	Ask(target site.Target) link.Request
	// Progress returns how far a request has come at a target, by the response to that call.
	Progress(id string, body []byte) (Progress, error)
	// IsEngine tells by the response to that call whether a model engine made it.
	IsEngine(status int, body []byte) bool
	// Drop returns the call that frees such a copy.
	Drop(s Source) link.Request
	// Judge returns what a response says of itself.
	Judge(status int, header map[string][]string) Verdict
	// Response returns the headers that belong to the caller.
	Response(header map[string][]string) chain.Header
}

// Settings configures a sender.
type Settings struct {
	Retries func() retry.Bound // Retries returns this instance's share of the fleet's bound.
	Fleet   retry.Bound        // Fleet bounds the repeats of all instances together.
	Size    func() int         // Size returns the number of instances, this one included.
}

// Sender holds what sends to targets need.
type Sender struct {
	Link     *link.Link
	Picker   *picker.Picker
	Dialect  Dialect
	Log      log.Interface
	Counts   Counts
	settings Settings
	began    time.Time
	paces    sync.Map // paces holds an *atomic.Pointer[flow.Pace] for each service.
	windows  sync.Map // windows holds an *atomic.Pointer[retry.Window] for each service.
}

// Counts holds the metrics of forwarded calls.
type Counts struct {
	Sends    *metrics.Counter
	Unsent   *metrics.Counter
	Repeats  *metrics.Counter
	Denied   *metrics.Counter
	Copies   *metrics.Counter
	Orders   *metrics.Counter
	Rereads  *metrics.Counter
	Severed  *metrics.Counter
	Silences *metrics.Counter
	First    *metrics.Histogram
	Pause    *metrics.Histogram
	Resume   *metrics.Histogram
}

// New returns a sender.
func New(s Settings, l *link.Link, p *picker.Picker, d Dialect, logger log.Interface, set *metrics.Set) *Sender {
	sender := &Sender{
		Link:     l,
		Picker:   p,
		Dialect:  d,
		Log:      logger,
		settings: s,
		began:    time.Now(),
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
			First:    set.GetOrCreateHistogram("bramleywharf_first_event_seconds"),
			Pause:    set.GetOrCreateHistogram("bramleywharf_event_pause_seconds"),
			Resume:   set.GetOrCreateHistogram("bramleywharf_stream_resume_seconds"),
		},
	}
	p.Report(sender.usage)
	return sender
}

// Request counts a request of a service.
func (s *Sender) Request(service string) {
	cell.Swap(s.window(service), func(w retry.Window) (retry.Window, bool) {
		return w.WithRequest(time.Since(s.began)), true
	})
}

// Repeat takes one repeat from the bound of a service, from the instance's share or from what the fleet leaves unused, or returns false.
func (s *Sender) Repeat(service string) bool {
	ok := cell.Swap(s.window(service), func(w retry.Window) (retry.Window, bool) {
		now := time.Since(s.began)
		own := s.settings.Retries()
		if next, ok := w.WithRepeat(now, own); ok {
			return next, true
		}
		used := s.Picker.Used(service)
		return w.WithOverdraft(now, retry.Overdraft{Requests: used.Requests, Repeats: used.Repeats, Fleet: s.settings.Fleet, Own: own})
	})
	if ok {
		s.Counts.Repeats.Inc()
	} else {
		s.Counts.Denied.Inc()
	}
	return ok
}

// usage tells what this instance sent to each service lately.
func (s *Sender) usage() []wire.Usage {
	var usage []wire.Usage
	s.windows.Range(func(service, w any) bool {
		requests, repeats := w.(*atomic.Pointer[retry.Window]).Load().Count(time.Since(s.began))
		usage = append(usage, wire.Usage{Service: service.(string), Requests: requests, Repeats: repeats})
		return true
	})
	return usage
}

// Pace returns the estimate of the pauses of a service's streams.
func (s *Sender) Pace(service string) flow.Pace {
	return *value[flow.Pace](&s.paces, service).Load()
}

// Learn changes the estimate of the pauses of a service's streams.
func (s *Sender) Learn(service string, change func(flow.Pace) flow.Pace) {
	cell.Swap(value[flow.Pace](&s.paces, service), func(p flow.Pace) (flow.Pace, bool) { return change(p), true })
}

// window returns the window of a service.
func (s *Sender) window(service string) *atomic.Pointer[retry.Window] {
	return value[retry.Window](&s.windows, service)
}

// value returns the value of a service, which begins as the zero value.
func value[T any](values *sync.Map, service string) *atomic.Pointer[T] {
	if v, ok := values.Load(service); ok {
		return v.(*atomic.Pointer[T])
	}
	fresh := &atomic.Pointer[T]{}
	fresh.Store(new(T))
	v, _ := values.LoadOrStore(service, fresh)
	return v.(*atomic.Pointer[T])
}

// Limit returns when a call needs its final answer: at its route's timeout, and in time for its caller.
func Limit(c chain.Call, f chain.Forward) time.Time {
	at := f.Deadline.Add(-deadlineMargin)
	if timeout, ok := Timeout(c, f); ok && timeout.Before(at) {
		return timeout
	}
	return at
}

// Left returns how long a target may take.
func Left(c chain.Call, f chain.Forward) time.Duration {
	at := f.Deadline
	if timeout, ok := Timeout(c, f); ok && timeout.Before(at) {
		at = timeout
	}
	return time.Until(at)
}

// Timeout returns when the timeout of a call's route passes, if it has one. A stream that has begun keeps nobody waiting, so it bounds the wait for the first event alone.
func Timeout(c chain.Call, f chain.Forward) (time.Time, bool) {
	return f.Received.Add(c.Route.Timeout), c.Route.Timeout > 0
}

// Outgoing returns the message of one send.
func (s *Sender) Outgoing(m Send, f chain.Forward, fresh bool) link.Request {
	return link.Request{
		Address: m.Target.Address,
		Host:    f.Host,
		Method:  f.Method,
		Path:    f.Path,
		Header:  s.Dialect.Header(m),
		Body:    f.Body,
		Echo:    m.Call.ID,
		Fresh:   fresh,
		Idle:    s.idle(m),
	}
}

// idle returns how many idle connections this instance may keep to a target, or 0 where the target has no bound.
func (s *Sender) idle(m Send) int {
	service, ok := m.Call.Site.Service(m.Target.Service)
	if !ok || service.MaxConns == 0 {
		return 0
	}
	return max(1, int(idleShare*float64(service.MaxConns))/max(1, s.settings.Size()))
}

// Unavailable refuses a call that was not run.
func Unavailable(after time.Duration, format string, args ...any) chain.Answer {
	return chain.Refuse(deny.New(deny.KindUnavailable, format, args...).WithRetryAfter(after))
}

// Unknown refuses a call that may have run.
func Unknown(kind deny.Kind, format string, args ...any) chain.Answer {
	return chain.Refuse(deny.New(kind, format, args...).WithExecuted(deny.ExecutedUnknown))
}
