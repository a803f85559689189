package pass

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	deadlineMargin = 20 * time.Millisecond  // deadlineMargin is kept back from a caller's deadline for the way of the answer.
	retryAfter     = 150 * time.Millisecond // retryAfter is when callers of whole answers should come back; most losses are over or known by then.
	streamRetry    = 600 * time.Millisecond // streamRetry is when callers of streams should come back; engines of a failure domain are back after a second or so.
	maxUnsent      = 4                      // maxUnsent bounds the targets that one request could not be sent to.
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

// Verdict is the sealed set of what a response says of itself: Signed, NotRun and Unsigned.
type Verdict interface {
	isVerdict()
}

// Signed responses were made by the target that ran the request.
type Signed struct{}

// NotRun responses promise that the request has not run and never will.
type NotRun struct {
	Misdirected bool // Misdirected tells that another target has the address.
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
	// Drop returns the call that frees such a copy.
	Drop(s Source) link.Request
	// Judge returns what a response says of itself.
	Judge(status int, header map[string][]string) Verdict
	// Response returns the headers that belong to the caller.
	Response(header map[string][]string) chain.Header
}

// Settings configures a handler.
type Settings struct {
	Retries func() retry.Bound // Retries returns this instance's share of the fleet's bound.
}

// Pass forwards calls to targets.
type Pass struct {
	settings Settings
	link     *link.Link
	picker   *picker.Picker
	dialect  Dialect
	log      log.Interface
	began    time.Time
	windows  sync.Map // windows holds an *atomic.Pointer[retry.Window] for each service.
	counts   counts
}

// counts holds the metrics of forwarded calls.
type counts struct {
	sends    *metrics.Counter
	unsent   *metrics.Counter
	repeats  *metrics.Counter
	denied   *metrics.Counter
	copies   *metrics.Counter
	orders   *metrics.Counter
	rereads  *metrics.Counter
	severed  *metrics.Counter
	first    *metrics.Histogram
	pause    *metrics.Histogram
	resume   *metrics.Histogram
	silences *metrics.Counter
}

// New returns a handler.
func New(s Settings, l *link.Link, p *picker.Picker, d Dialect, logger log.Interface, set *metrics.Set) *Pass {
	return &Pass{
		settings: s,
		link:     l,
		picker:   p,
		dialect:  d,
		log:      logger,
		began:    time.Now(),
		counts: counts{
			sends:    set.GetOrCreateCounter("bramleywharf_sends_total"),
			unsent:   set.GetOrCreateCounter("bramleywharf_sends_failed_unsent_total"),
			repeats:  set.GetOrCreateCounter("bramleywharf_sends_repeated_total"),
			denied:   set.GetOrCreateCounter("bramleywharf_retries_denied_total"),
			copies:   set.GetOrCreateCounter(`bramleywharf_streams_resumed_total{from="copy"}`),
			orders:   set.GetOrCreateCounter("bramleywharf_copies_ordered_total"),
			rereads:  set.GetOrCreateCounter(`bramleywharf_streams_resumed_total{from="prompt"}`),
			severed:  set.GetOrCreateCounter("bramleywharf_streams_severed_total"),
			first:    set.GetOrCreateHistogram("bramleywharf_first_event_seconds"),
			pause:    set.GetOrCreateHistogram("bramleywharf_event_pause_seconds"),
			resume:   set.GetOrCreateHistogram("bramleywharf_stream_resume_seconds"),
			silences: set.GetOrCreateCounter("bramleywharf_streams_silent_total"),
		},
	}
}

// Handle forwards a call.
func (p *Pass) Handle(ctx context.Context, c chain.Call) chain.Answer {
	f, ok := c.Request.(chain.Forward)
	if !ok {
		return chain.Refuse(deny.New(deny.KindMalformed, "request of another kind"))
	}
	ctx, cancel := context.WithDeadline(ctx, limit(c, f))
	defer cancel()
	switch r := c.Route.Repeat.(type) {
	case site.Stream:
		return newFlight(p, c, f, r).run(ctx)
	case site.Idempotent:
		return newErrand(p, c, f, true).run(ctx)
	default:
		return newErrand(p, c, f, false).run(ctx)
	}
}

// Left returns the repeats that the bound still allows for a service.
func (p *Pass) Left(service string) int {
	return p.window(service).Load().Left(time.Since(p.began), p.settings.Retries())
}

// request counts a request of a service.
func (p *Pass) request(service string) {
	w := p.window(service)
	for {
		old := w.Load()
		next := old.WithRequest(time.Since(p.began))
		if w.CompareAndSwap(old, &next) {
			return
		}
	}
}

// repeat takes one repeat from the bound of a service, or returns false.
func (p *Pass) repeat(service string) bool {
	w := p.window(service)
	for {
		old := w.Load()
		next, ok := old.WithRepeat(time.Since(p.began), p.settings.Retries())
		if !ok {
			p.counts.denied.Inc()
			return false
		}
		if w.CompareAndSwap(old, &next) {
			p.counts.repeats.Inc()
			return true
		}
	}
}

// window returns the window of a service.
func (p *Pass) window(service string) *atomic.Pointer[retry.Window] {
	if w, ok := p.windows.Load(service); ok {
		return w.(*atomic.Pointer[retry.Window])
	}
	fresh := &atomic.Pointer[retry.Window]{}
	fresh.Store(&retry.Window{})
	w, _ := p.windows.LoadOrStore(service, fresh)
	return w.(*atomic.Pointer[retry.Window])
}

// limit returns when a call needs its final answer: at its route's timeout, and in time for its caller.
func limit(c chain.Call, f chain.Forward) time.Time {
	at := f.Deadline.Add(-deadlineMargin)
	if c.Route.Timeout > 0 {
		if timeout := f.Received.Add(c.Route.Timeout); timeout.Before(at) {
			at = timeout
		}
	}
	return at
}

// left returns how long a target may take.
func left(c chain.Call, f chain.Forward) time.Duration {
	at := f.Deadline
	if c.Route.Timeout > 0 {
		if timeout := f.Received.Add(c.Route.Timeout); timeout.Before(at) {
			at = timeout
		}
	}
	return time.Until(at)
}

// outgoing returns the message of one send.
func (p *Pass) outgoing(s Send, f chain.Forward, fresh bool) link.Request {
	return link.Request{
		Address: s.Target.Address,
		Host:    f.Host,
		Method:  f.Method,
		Path:    f.Path,
		Header:  p.dialect.Header(s),
		Body:    f.Body,
		Echo:    s.Call.ID,
		Fresh:   fresh,
	}
}

// unavailable refuses a call that was not run.
func unavailable(after time.Duration, format string, args ...any) chain.Answer {
	return chain.Refuse(deny.New(deny.KindUnavailable, format, args...).WithRetryAfter(after))
}

// unknown refuses a call that may have run.
func unknown(kind deny.Kind, format string, args ...any) chain.Answer {
	return chain.Refuse(deny.New(kind, format, args...).WithExecuted(deny.ExecutedUnknown))
}
