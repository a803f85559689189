package flight

import (
	"context"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/retry"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

// Errors with which a monitor ends an attempt.
var (
	errStalled     = errors.New("target sent no event in time")
	errUnreachable = errors.New("target stopped sending and accepts no connection")
	errStreamLost  = errors.New("target reports events that did not arrive, or does not have the request")
)

// moveCheckInterval is the time between two checks of whether a silent stream can move.
const moveCheckInterval = 200 * time.Millisecond

// monitor cancels an attempt whose target stops sending, and keeps a replica of its stream at another target.
type monitor struct {
	stream           *stream
	pick             *picker.Pick
	fromReplica      bool // whether the attempt starts from a replica
	promptTokens     int
	mayRetry         bool // whether the route allows another attempt after this one
	startedAt        time.Time
	lastEvent        atomic.Int64  // time of the last event in nanoseconds since startedAt, 0 before the first
	lastProbe        time.Duration // time of the last probe since startedAt
	lastMoveCheck    time.Duration // time since startedAt at which the silent stream could not move
	reportedLost     atomic.Bool   // whether the target was reported as lost although the attempt goes on
	sender           *send.Sender
	replicaOrderedAt time.Time     // when a replica was ordered last
	refusedHolder    string        // last target to refuse a replica; written by orderReplica while replicating is set
	replicating      atomic.Bool   // whether orderReplica is running
	stopping         chan struct{} // closed by stop
	stopped          chan struct{} // closed when the goroutine has ended
}

// startMonitor starts a goroutine that checks an attempt at intervals until it is stopped or cancels the attempt.
func startMonitor(ctx context.Context, s *stream, pick *picker.Pick, fromReplica bool, cancel context.CancelCauseFunc) *monitor {
	m := &monitor{
		stream:       s,
		pick:         pick,
		fromReplica:  fromReplica,
		promptTokens: s.request.Prompt.Tokens(),
		mayRetry:     s.sendCount+1 < s.call.Route.MaxAttempts,
		startedAt:    time.Now(),
		sender:       s.sender,
		stopping:     make(chan struct{}),
		stopped:      make(chan struct{}),
	}
	go func() {
		defer close(m.stopped)
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		for {
			select {
			case <-m.stopping:
				return
			case <-ticker.C:
			}
			if err := m.check(ctx); err != nil && m.decide(err) {
				s.sender.Counts.Silences.Inc()
				cancel(err)
				return
			}
			m.maintainReplica(ctx)
		}
	}()
	return m
}

// recordEvent records the arrival of an event. A target that was reported as lost is no longer suspect.
func (m *monitor) recordEvent() {
	m.lastEvent.Store(int64(time.Since(m.startedAt)))
	if m.reportedLost.Load() && m.reportedLost.Swap(false) {
		m.pick.Heard()
	}
}

// decide reports whether the attempt ends for an error of check. A stream that cannot move stays with its target, which
// may go on sending; TCP ends the connection of one that is dead.
func (m *monitor) decide(err error) bool {
	now := time.Since(m.startedAt)
	if m.lastMoveCheck > 0 && now-m.lastMoveCheck < moveCheckInterval {
		return false
	}
	lastEvent := time.Duration(m.lastEvent.Load())
	switch step := retry.Decide(m).(type) {
	case retry.Move:
		if lastEvent > 0 && errors.Is(err, errStalled) {
			m.sender.Learn(m.stream.service, func(p flow.PauseEstimate) flow.PauseEstimate { return p.WithCut(now - lastEvent) })
		}
		return true
	case retry.Stay:
		m.keep(step, err, now-lastEvent)
	}
	m.lastMoveCheck = now
	return false
}

// keep records once for each silence that the stream stays with its target. New streams avoid the target until it
// sends again.
func (m *monitor) keep(step retry.Stay, err error, silence time.Duration) {
	if m.reportedLost.Swap(true) {
		return
	}
	m.pick.Lost(err.Error())
	m.sender.Counts.Kept.Inc()
	m.sender.Log.WithFields(log.Fields{
		"request":    m.stream.call.ID,
		"target":     m.pick.Target.Name,
		"service":    m.stream.service,
		"silence-ms": silence.Milliseconds(),
		"cause":      step.Reason,
	}).WithError(err).Info("stream stays with its silent target")
}

// MayRetry reports whether the route allows another attempt.
func (m *monitor) MayRetry() bool {
	return m.mayRetry
}

// HasAlternative reports whether another target can take the stream.
func (m *monitor) HasAlternative() bool {
	return m.sender.Picker.HasSound(picker.Want{Service: m.stream.service, Avoid: map[string]bool{m.pick.Target.Name: true}})
}

// Reserve reserves a retry for the stream, unless the bound on retries is reached.
func (m *monitor) Reserve() bool {
	return m.stream.reserveRetry()
}

// check returns an error when the target has sent no event for too long, or fails a probe in the meantime. A stream
// that may not be resumed is never suspected for silence, since no other target could continue it.
func (m *monitor) check(ctx context.Context) error {
	if !m.stream.policy.Resumable {
		return nil
	}
	lastEvent := time.Duration(m.lastEvent.Load())
	now := time.Since(m.startedAt)
	silence := now - lastEvent
	expected := flow.Silence{
		Begun:        lastEvent > 0,
		FromReplica:  m.fromReplica,
		PromptTokens: m.promptTokens,
		DomainLoss:   m.pick.DomainLostSince(m.startedAt.Add(max(lastEvent, m.lastProbe))),
		Pauses:       m.sender.Pace(m.stream.service),
	}
	if silence > expected.Timeout() {
		return errStalled
	}
	if silence <= expected.ProbeDelay() || m.lastProbe > lastEvent && now-m.lastProbe < expected.ProbeInterval() {
		return nil
	}
	m.lastProbe = now
	var err error
	if lastEvent == 0 && !m.fromReplica && (expected.DomainLoss || now > progressCheckDelay) {
		err = m.checkProgress(ctx)
	} else if m.sender.Link.Probe(ctx, m.pick.Target.Address) != nil {
		err = errUnreachable
	}
	if ctx.Err() != nil || time.Duration(m.lastEvent.Load()) != lastEvent {
		return nil
	}
	return err
}

// checkProgress reads the target's report. It returns an error when the target has produced events, none of which
// arrived, when it does not have the request, or when it takes no connection.
func (m *monitor) checkProgress(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, progressCheckTimeout)
	defer cancel()
	_, body, err := m.sender.Link.Exchange(ctx, m.sender.Dialect.Ask(m.pick.Target))
	var notSentErr *link.NotSentError
	if errors.As(err, &notSentErr) {
		return errUnreachable
	}
	if err != nil {
		return nil // A target that is slow to report may still be reading the prompt; silenceTimeout bounds that.
	}
	p, err := m.sender.Dialect.Progress(m.stream.call.ID, body)
	if err != nil {
		m.sender.Log.WithError(err).WithField("target", m.pick.Target.Name).Info("report of the target cannot be decoded")
		return nil
	}
	if p.Events > 0 || !p.Listed && p.Unnamed == 0 && time.Since(m.startedAt) > reportLag {
		return errStreamLost
	}
	return nil
}

// stop ends the checks and waits for the goroutine.
func (m *monitor) stop() {
	close(m.stopping)
	<-m.stopped
}
