package guard

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/pkg/errors"
)

// Errors that a monitor reports.
var (
	// ErrStalled means that no event came in time.
	ErrStalled = errors.New("target sent no event in time")
	// ErrQueued means that no event came in time since the stream waits in the target's queue, or its prompt is read after that.
	ErrQueued = errors.New("stream waits in the target's queue")
	// ErrUnreachable means that a connection to the silent target is neither accepted nor refused.
	ErrUnreachable = errors.New("target stopped sending and accepts no connection")
	// ErrStreamLost means that the silent target's report shows that the stream is lost.
	ErrStreamLost = errors.New("target reports events that did not arrive, or does not have the request")
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
	// queueCheckInterval is the least time between two questions for the queue of a target.
	queueCheckInterval = 1200 * time.Millisecond
)

// Silence is the report of a monitor that its target may be lost.
type Silence struct {
	Err       error
	LastEvent time.Duration // LastEvent is the time of the last event since the start of the monitor, 0 before the first.
	Length    time.Duration // Length is how long the silence was when it was first reported for this reason.
}

// Doubt returns what the silence says of the target.
func (s Silence) Doubt() retry.Doubt {
	switch {
	case errors.Is(s.Err, ErrQueued):
		return retry.Waits{}
	case errors.Is(s.Err, ErrStalled):
		return retry.Stalled{}
	default:
		return retry.Lost{}
	}
}

// Ending returns what ended an attempt, by its error.
func Ending(err error) chain.Ending {
	switch {
	case errors.Is(err, ErrUnreachable):
		return chain.EndedByProbe
	case errors.Is(err, ErrStreamLost):
		return chain.EndedByReport
	case errors.Is(err, ErrQueued):
		return chain.EndedByQueue
	case errors.Is(err, ErrStalled):
		return chain.EndedBySilence
	default:
		return chain.EndedByTarget
	}
}

// Subject is the attempt of a stream that a monitor watches.
type Subject struct {
	Sender       *send.Sender
	Call         chain.Call
	Service      string
	Pick         *picker.Pick
	PromptTokens int
	FromReplica  bool      // FromReplica tells that the attempt starts from a replica.
	Resumable    bool      // Resumable tells that another target can continue the stream.
	Replicas     *Replicas // Replicas keeps the replica of the stream.
}

// Monitor watches an attempt, reports when its target stops sending, and keeps a replica of its stream at another target.
type Monitor struct {
	subject          Subject
	startedAt        time.Time
	lastEvent        atomic.Int64       // time of the last event in nanoseconds since startedAt, 0 before the first
	lastProbe        time.Duration      // time of the last probe since startedAt
	queueWait        flow.QueueWait     // what the target has reported of its queue since the stream is overdue
	queueWaitFor     time.Duration      // last event that queueWait is for
	replicaOrderedAt time.Time          // when a replica was ordered last
	refusedHolder    string             // last target to refuse a replica; written by orderReplica while replicating is set
	replicating      atomic.Bool        // whether orderReplica is running
	silences         chan Silence       // holds a report until it is taken
	cancel           context.CancelFunc // ends the goroutine
	done             chan struct{}      // closed when the goroutine has ended
}

// Start starts a goroutine that checks an attempt at intervals until it is stopped. It reports a silence again and
// again until the next event.
func Start(ctx context.Context, subject Subject) *Monitor {
	ctx, cancel := context.WithCancel(ctx)
	m := &Monitor{
		subject:   subject,
		startedAt: time.Now(),
		silences:  make(chan Silence, 1),
		cancel:    cancel,
		done:      make(chan struct{}),
	}
	go func() {
		defer close(m.done)
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		var last Silence
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			lastEvent := m.LastEvent()
			if err := m.check(ctx); err != nil && (!errors.Is(err, last.Err) || lastEvent != last.LastEvent) {
				last = Silence{Err: err, LastEvent: lastEvent, Length: time.Since(m.startedAt) - lastEvent}
			}
			if last.Err != nil && last.LastEvent == m.LastEvent() {
				m.report(last)
				continue
			}
			m.maintainReplica(ctx)
		}
	}()
	return m
}

// Silences returns the channel on which silences are reported.
func (m *Monitor) Silences() <-chan Silence {
	return m.silences
}

// RecordEvent records the arrival of an event.
func (m *Monitor) RecordEvent() {
	m.lastEvent.Store(int64(time.Since(m.startedAt)))
}

// LastEvent returns the time of the last event since the start of the monitor, 0 before the first.
func (m *Monitor) LastEvent() time.Duration {
	return time.Duration(m.lastEvent.Load())
}

// Elapsed returns how long the target has sent no event.
func (m *Monitor) Elapsed() time.Duration {
	return time.Since(m.startedAt) - m.LastEvent()
}

// Stop ends the checks and waits for the goroutine.
func (m *Monitor) Stop() {
	m.cancel()
	<-m.done
}

// report puts a report in place of one that was not taken.
func (m *Monitor) report(next Silence) {
	select {
	case <-m.silences:
	default:
	}
	m.silences <- next
}

// check returns an error when the target has sent no event for too long, or fails a probe in the meantime. A stream
// that may not be resumed is never suspected for silence, since no other target could continue it.
func (m *Monitor) check(ctx context.Context) error {
	if !m.subject.Resumable {
		return nil
	}
	lastEvent := m.LastEvent()
	now := time.Since(m.startedAt)
	silence := now - lastEvent
	expected := flow.Silence{
		Begun:        lastEvent > 0,
		FromReplica:  m.subject.FromReplica,
		PromptTokens: m.subject.PromptTokens,
		DomainLoss:   m.subject.Pick.DomainLostSince(m.startedAt.Add(max(lastEvent, m.lastProbe))),
		Pauses:       m.subject.Sender.Pace(m.subject.Service),
	}
	if silence > expected.Timeout() {
		readTime := flow.Silence{PromptTokens: m.subject.PromptTokens}.Timeout()
		if m.askQueue(ctx, now, lastEvent).Explains(now, readTime, lastEvent > 0) {
			return ErrQueued
		}
		return ErrStalled
	}
	if silence <= expected.ProbeDelay() || m.lastProbe > lastEvent && now-m.lastProbe < expected.ProbeInterval() {
		return nil
	}
	m.lastProbe = now
	var err error
	if lastEvent == 0 && !m.subject.FromReplica && (expected.DomainLoss || now > progressCheckDelay) {
		err = m.checkProgress(ctx)
	} else if isUnreachable(m.subject.Sender.Link.Probe(ctx, m.subject.Pick.Target.Address)) {
		err = ErrUnreachable
	}
	if ctx.Err() != nil || m.LastEvent() != lastEvent {
		return nil
	}
	return err
}

// askQueue returns what the target reports of its queue since the stream is overdue, and asks it at intervals.
func (m *Monitor) askQueue(ctx context.Context, now, lastEvent time.Duration) flow.QueueWait {
	if m.queueWaitFor != lastEvent {
		m.queueWait, m.queueWaitFor = flow.QueueWait{}, lastEvent
	}
	if m.queueWait.IsDue(now, queueCheckInterval) {
		progress, err := m.subject.Sender.AskLoad(ctx, m.subject.Pick.Target, m.subject.Call.ID)
		m.queueWait = m.queueWait.WithReport(now, err == nil && progress.MayWait(), progress.Load())
	}
	return m.queueWait
}

// isUnreachable reports whether the error of a connection shows that a target is lost. One that refuses it may be leaving,
// and runs on what it has accepted; a process that has ended has closed its connections.
func isUnreachable(err error) bool {
	return err != nil && !errors.Is(err, syscall.ECONNREFUSED)
}

// checkProgress reads the target's report. It returns an error when the target has produced events, none of which
// arrived, when it does not have the request, or when it takes no connection.
func (m *Monitor) checkProgress(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, progressCheckTimeout)
	defer cancel()
	p, err := m.subject.Sender.AskProgress(ctx, m.subject.Pick.Target, m.subject.Call.ID)
	if link.IsNotSent(err) && isUnreachable(err) {
		return ErrUnreachable
	}
	if err != nil {
		return nil // A target that is slow to report may still be reading the prompt; flow.Silence bounds that.
	}
	if p.Events > 0 || !p.Listed && p.Unnamed == 0 && time.Since(m.startedAt) > reportLag {
		return ErrStreamLost
	}
	return nil
}
