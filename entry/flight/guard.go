package flight

import (
	"context"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/pkg/errors"
)

// Errors with which a monitor ends an attempt.
var (
	errStalled     = errors.New("target sent no event in time")
	errUnreachable = errors.New("target stopped sending and accepts no connection")
	errStreamLost  = errors.New("target reports events that did not arrive, or does not have the request")
)

// monitor cancels an attempt whose target stops sending, and keeps a replica of its stream at another target.
type monitor struct {
	stream           *stream
	pick             *picker.Pick
	fromReplica      bool // whether the attempt starts from a replica
	promptTokens     int
	startedAt        time.Time
	lastEvent        atomic.Int64  // time of the last event in nanoseconds since startedAt, 0 before the first
	lastProbe        time.Duration // time of the last probe since startedAt
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
		promptTokens: s.request.Prompt,
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
			if err := m.check(ctx); err != nil {
				s.sender.Counts.Silences.Inc()
				cancel(err)
				return
			}
			m.maintainReplica(ctx)
		}
	}()
	return m
}

// recordEvent records the arrival of an event.
func (m *monitor) recordEvent() {
	m.lastEvent.Store(int64(time.Since(m.startedAt)))
}

// check returns an error when the target has sent no event for too long, or fails a probe in the meantime. A stream
// that may not be resumed is never ended for silence, since no other target could continue it.
func (m *monitor) check(ctx context.Context) error {
	if !m.stream.policy.Resumable {
		return nil
	}
	lastEvent := time.Duration(m.lastEvent.Load())
	now := time.Since(m.startedAt)
	silence := now - lastEvent
	if silence > m.silenceTimeout(lastEvent) {
		if lastEvent > 0 {
			m.sender.Learn(m.stream.service, func(p flow.PauseEstimate) flow.PauseEstimate { return p.WithCut(silence) })
		}
		return errStalled
	}
	domainLoss := m.pick.DomainLostSince(m.startedAt.Add(max(lastEvent, m.lastProbe)))
	if silence <= m.probeDelay(lastEvent, domainLoss) || m.lastProbe > lastEvent && now-m.lastProbe < minProbeInterval(domainLoss) {
		return nil
	}
	m.lastProbe = now
	var err error
	if lastEvent == 0 && !m.fromReplica && (domainLoss || now > progressCheckDelay) {
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

// silenceTimeout returns the time without an event that ends an attempt.
func (m *monitor) silenceTimeout(lastEvent time.Duration) time.Duration {
	switch {
	case lastEvent > 0:
		return m.sender.Pace(m.stream.service).CutTimeout()
	case m.fromReplica:
		return replicaEventTimeout
	default:
		return firstEventTimeout + time.Duration(m.promptTokens)*timeoutPerPromptToken
	}
}

// stop ends the checks and waits for the goroutine.
func (m *monitor) stop() {
	close(m.stopping)
	<-m.stopped
}

// minProbeInterval returns the least time between two probes.
func minProbeInterval(domainLoss bool) time.Duration {
	if domainLoss {
		return domainLossProbeInterval
	}
	return probeInterval
}

// probeDelay returns the time without an event after which the target is probed. It is shorter when the failure
// domain has lost a target since the last event and the last probe.
func (m *monitor) probeDelay(lastEvent time.Duration, domainLoss bool) time.Duration {
	switch {
	case domainLoss:
		return max(domainLossProbeDelay, m.sender.Pace(m.stream.service).ProbeTimeout()/2)
	case lastEvent > 0 || m.fromReplica:
		return m.sender.Pace(m.stream.service).ProbeTimeout()
	default:
		return probeInterval
	}
}
