package queue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bramleywharf.example/core/admit"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/picker"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// dispatchInterval is the time between two looks for room while streams wait.
	dispatchInterval = 50 * time.Millisecond
	// maxBytes bounds the bodies of the streams of one service that wait; the smallest instances have 112 MB, of which
	// bodies may take 15 % in all.
	maxBytes = 8 << 20
	// confirmedTTL is how long it counts that a target has confirmed that streams wait there.
	confirmedTTL = time.Second
)

// The reasons of refusals.
const (
	hopelessReason = "the stream would not end before its deadline"
	endedReason    = "time is up while the stream waits for a target"
)

// Rooms tells what is known of the load of targets.
type Rooms interface {
	// Room returns the load of the targets of a service.
	Room(service string) picker.Room
	// LoadAge returns how old the load that other instances report gets.
	LoadAge() time.Duration
}

// Settings configures a queue.
type Settings struct {
	Rooms Rooms
	Size  func() int // Size returns the number of instances, this one included.
	// HasQueue asks a target of a service, the one with the least load, whether streams wait there.
	HasQueue   func(service string) bool
	IsStopping func() bool // IsStopping reports whether the instance has got the signal to stop.
	Log        log.Interface
	Set        *metrics.Set
}

// Queue holds the streams of all services that wait at this instance.
type Queue struct {
	settings Settings
	began    time.Time
	services sync.Map // services maps each service to its *line.
	waits    *metrics.Histogram
}

// line is the queue of one service.
type line struct {
	name    string
	mu      sync.Mutex
	engine  site.Engine // engine is that of the latest stream's configuration.
	queue   admit.Queue
	pace    admit.Pace
	waiting map[uint64]chan bool // waiting maps tickets to the channels that get whether the stream is sent.
	load    admit.Load           // load is that of the latest decision.
	queued  time.Duration        // queued is when a target last confirmed that streams wait there.
	isDue   bool                 // isDue tells that a look for room is due.
}

// New returns an empty queue.
func New(s Settings) *Queue {
	return &Queue{settings: s, began: time.Now(), waits: s.Set.GetOrCreateHistogram("bramleywharf_admission_wait_seconds")}
}

// Enter waits until a new stream may be sent to a target. It returns why the stream is not to be run, or an empty string.
func (q *Queue) Enter(ctx context.Context, call chain.Call, forward chain.Forward, service string) string {
	l, isFirst, ok := q.line(call, service)
	if !ok || forward.LastEvent != "" {
		return "" // A stream that goes on has had a target's time already.
	}
	now := time.Now()
	r := admit.Request{
		Class: call.Route.Name, Organisation: call.Organisation, Priority: call.Urgency, IsFirst: isFirst, Bytes: len(forward.Body),
		Left: forward.Deadline.Sub(now), Objective: forward.Received.Add(call.Route.LatencyGoal).Sub(now),
	}
	if call.Route.Timeout > 0 {
		r.Limit = forward.Received.Add(call.Route.Timeout).Sub(now)
	}
	ticket, granted, reason := q.decide(l, r, call)
	if granted == nil {
		return reason
	}
	defer func() { q.waits.Update(time.Since(now).Seconds()) }()
	select {
	case isSent := <-granted:
		if isSent {
			return ""
		}
		return hopelessReason
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		l.queue, _ = l.queue.WithoutTicket(ticket)
		delete(l.waiting, ticket)
		return endedReason
	}
}

// RetryAfter returns when a caller whose stream is refused is to come back: after the expected time until there is room,
// or after fallback if streams of the service do not wait here.
func (q *Queue) RetryAfter(call chain.Call, forward chain.Forward, service string, fallback time.Duration) time.Duration {
	l, _, ok := q.line(call, service)
	if !ok {
		return fallback
	}
	room := q.settings.Rooms.Room(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load = q.sumUp(l, room, time.Since(q.began))
	if !l.load.IsKnown() || !l.pace.IsKnown() {
		return fallback
	}
	return admit.RetryAfter(l.load.Wait(l.queue.Len(), l.pace.Mean()), time.Until(forward.Deadline), rand.Float64())
}

// Learn records how long a complete stream took that one target has run from its start to its end.
func (q *Queue) Learn(service string, took time.Duration, tokens int) {
	if l, ok := q.services.Load(service); ok {
		l := l.(*line)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pace = l.pace.WithStream(time.Since(q.began), took, tokens)
	}
}

// line returns the line of a service and whether no stream of it is more urgent than the call. It returns false if its
// streams do not wait here.
func (q *Queue) line(call chain.Call, name string) (l *line, isFirst, ok bool) {
	service, known := call.Site.Service(name)
	mostUrgent, differ := call.Site.MostUrgent(name)
	if !known || !differ || service.Engine == nil || service.Engine.Slots <= 0 || service.Engine.CapacityTokens <= 0 {
		return nil, false, false
	}
	value, ok := q.services.Load(name)
	if !ok {
		value, _ = q.services.LoadOrStore(name, &line{name: name, waiting: make(map[uint64]chan bool)})
	}
	l = value.(*line)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine = *service.Engine
	return l, call.Urgency <= mostUrgent, true
}

// decide decides about a stream that has arrived. It returns its ticket and the channel to wait for, or nil and why the
// stream is not run, if it is not.
func (q *Queue) decide(l *line, r admit.Request, call chain.Call) (ticket uint64, granted <-chan bool, reason string) {
	room := q.settings.Rooms.Room(l.name)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Since(q.began)
	l.load = q.sumUp(l, room, now)
	decision := admit.Decide(r, l.load, l.queue, l.pace, maxBytes, now, rand.Float64())
	if _, isRefused := decision.(admit.Refuse); isRefused && !q.confirm(l) {
		decision = admit.Serve{}
	}
	switch d := decision.(type) {
	case admit.Hold:
		q.count("hold", r.Priority)
		ticket, granted = q.hold(l, d.Ticket)
	case admit.Displace:
		q.count("hold", r.Priority)
		next, last := l.queue.WithoutLast(now)
		l.queue = next
		l.grant(last, true)
		ticket, granted = q.hold(l, d.Ticket)
	case admit.Refuse:
		q.count("refuse", r.Priority)
		q.logRefusal(l, d.Reason, r.Priority, r.Left, d.Wait).WithField("request", call.ID).Info("stream is refused")
		return 0, nil, d.Reason
	default:
		q.count("serve", r.Priority)
		l.queue = l.queue.WithSent(now)
	}
	return ticket, granted, ""
}

// hold puts a ticket into a line; the caller holds its lock.
func (q *Queue) hold(l *line, t admit.Ticket) (uint64, <-chan bool) {
	l.queue, t = l.queue.WithTicket(t)
	granted := make(chan bool, 1)
	l.waiting[t.ID] = granted
	q.schedule(l)
	return t.ID, granted
}

// dispatch sends the streams for which there is room, refuses those that can no longer end in time, and comes again while
// streams wait.
func (q *Queue) dispatch(l *line) {
	room := q.settings.Rooms.Room(l.name)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Since(q.began)
	l.load = q.sumUp(l, room, now)
	if q.settings.IsStopping() {
		l.load = admit.Load{} // Each stream is sent or refused by what the stop leaves it.
	}
	draw := rand.Float64()
	if _, _, hopeless := l.queue.Dispatch(l.load, l.pace, now, draw); len(hopeless) > 0 && !q.confirm(l) {
		l.load.Excess = 0 // Nothing may be refused.
	}
	next, sent, hopeless := l.queue.Dispatch(l.load, l.pace, now, draw)
	l.queue = next
	for _, t := range sent {
		l.grant(t, true)
	}
	for _, t := range hopeless {
		q.count("refuse", t.Priority)
		q.logRefusal(l, hopelessReason, t.Priority, t.Deadline-now, l.load.Wait(0, l.pace.Mean())).WithField("wait-ms", (now - t.Arrived).Milliseconds()).Info("stream that waits is refused")
		l.grant(t, false)
	}
	l.isDue = false
	if l.queue.Len() > 0 {
		q.schedule(l)
	}
}

// schedule lets the next look for room follow, unless one is due; the caller holds the lock of the line.
func (q *Queue) schedule(l *line) {
	if !l.isDue {
		l.isDue = true
		time.AfterFunc(dispatchInterval, func() { q.dispatch(l) })
	}
}

// confirm reports whether streams of a line may be refused: by the slots that are taken, or since a target says that
// streams wait there. The caller holds the lock of the line, which is not held while the target is asked.
func (q *Queue) confirm(l *line) bool {
	if l.load.IsHalfTaken() || l.queued > 0 && time.Since(q.began)-l.queued < confirmedTTL {
		return true
	}
	l.mu.Unlock()
	hasQueue := q.settings.HasQueue(l.name)
	l.mu.Lock()
	if hasQueue {
		l.queued = time.Since(q.began)
	}
	return hasQueue
}

// grant tells the stream of a ticket whether it is sent; the caller holds the lock of the line.
func (l *line) grant(t admit.Ticket, isSent bool) {
	if granted, ok := l.waiting[t.ID]; ok {
		granted <- isSent
		delete(l.waiting, t.ID)
	}
}

// sumUp returns the load of the targets of a line; the caller holds its lock. It is empty if this instance is blind: there
// are others and none of them reports.
func (q *Queue) sumUp(l *line, room picker.Room, now time.Duration) admit.Load {
	others := q.settings.Size() - 1
	if others > 0 && room.Reports == 0 {
		return admit.Load{}
	}
	for i := range room.Targets {
		t := &room.Targets[i]
		t.Memory = l.engine.CapacityTokens
		if t.Slots == 0 {
			t.Slots = l.engine.Slots
		}
	}
	load := admit.NewLoad(room.Targets, l.pace.Tokens(), room.Own, others+1).WithMissing(others - room.Reports)
	return load.WithSent(l.queue.SentSince(now - q.settings.Rooms.LoadAge()/2))
}

// count counts a decision.
func (q *Queue) count(decision string, priority int) {
	q.settings.Set.GetOrCreateCounter(fmt.Sprintf("bramleywharf_admission_total{decision=%q,priority=\"%d\"}", decision, priority)).Inc()
}

// logRefusal returns a logger with the figures on which a refusal is based; the caller holds the lock of the line.
func (q *Queue) logRefusal(l *line, reason string, priority int, left, wait time.Duration) log.Interface {
	return q.settings.Log.WithFields(log.Fields{
		"service": l.name, "cause": reason, "priority": priority, "deadline-ms": left.Milliseconds(), "expected-ms": wait.Milliseconds(),
		"least-ms": l.pace.Least().Milliseconds(), "waiting": l.queue.Len(), "streams": l.load.Streams, "slots": l.load.Slots, "free": l.load.Free, "excess": l.load.Excess,
	})
}
