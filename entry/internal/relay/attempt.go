package relay

import (
	"context"
	"strconv"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/route"
	"bramleywharf.example/entry/internal/engine"
	"github.com/pkg/errors"
)

// Limits on probing an engine that answers probes but sends no token.
const (
	maxProbes           = 4  // maxProbes applies once a token of the attempt was delivered.
	maxFirstTokenProbes = 60 // maxFirstTokenProbes applies before that, as the request may wait in the engine's queue.
	// maxSilence is the time without a token after which such an attempt is given up although no other one has sent a
	// token.
	maxSilence = 10 * time.Second
)

// attempt is one execution of the generation on an engine, as seen by the goroutine that runs loop.
type attempt struct {
	number        int
	target        route.Candidate
	runID         string // runID is the run that started the attempt, possibly on another instance.
	id            string
	next          int       // next is the offset of the token expected next from the current reader.
	lastActivity  time.Time // lastActivity is the time of the last token, new reader or probe.
	hasDelivered  bool      // hasDelivered tells whether a token of this attempt was delivered to the caller.
	probes        int       // probes counts probes and races since the last delivered token.
	isProbed      bool      // isProbed tells whether a probe is on its way.
	muteProbes    int       // muteProbes counts the last probes in a row that got no answer.
	readerID      int       // readerID is the current reader; events of earlier readers are ignored.
	stopReader    context.CancelFunc
	releaseTarget func()
}

// event is the sealed interface of what readers and probes send to a generation's loop.
type event interface {
	isEvent()
}

// streamEvent is one event from an engine's stream.
type streamEvent struct {
	readerID int
	event    engine.Event
}

// readerFailed reports that a reader's stream ended with an error.
type readerFailed struct {
	readerID int
	err      error
}

// probeResult carries what a probe found.
type probeResult struct {
	attempt int
	signal  flow.Signal
}

func (streamEvent) isEvent()  {}
func (readerFailed) isEvent() {}
func (probeResult) isEvent()  {}

// attemptID returns the id of an attempt at its engine. It includes the run's id because two runs of the same request
// may use the same attempt number.
func attemptID(requestID string, number int, runID string) string {
	return requestID + "." + strconv.Itoa(number) + "." + runID
}

// startReader replaces the attempt's reader by a goroutine that runs stream and sends its events to the loop.
func (g *generation) startReader(a *attempt, stream func(ctx context.Context, emit func(engine.Event)) error) {
	if a.stopReader != nil {
		a.stopReader()
	}
	ctx, stopReader := context.WithCancel(context.Background())
	g.lastReaderID++
	readerID := g.lastReaderID
	a.readerID = readerID
	a.stopReader = stopReader
	a.lastActivity = time.Now()
	g.workers.Go(func() {
		err := stream(ctx, func(e engine.Event) { g.sendEvent(ctx, streamEvent{readerID: readerID, event: e}) })
		if err != nil {
			g.sendEvent(ctx, readerFailed{readerID: readerID, err: err})
		}
	})
}

// startProbe probes an attempt over a new connection in a goroutine and sends the result to the loop.
func (g *generation) startProbe(a *attempt) {
	if a.isProbed {
		return
	}
	a.isProbed = true
	a.probes++
	a.lastActivity = time.Now()
	number, address, id := a.number, a.target.Address, a.id
	g.workers.Go(func() {
		ctx, cancel := context.WithTimeout(g.runCtx, probeTimeout)
		defer cancel()
		err := g.relay.engines.Probe(ctx, address, id)
		g.sendEvent(g.runCtx, probeResult{attempt: number, signal: probeSignal(ctx, err)})
	})
}

// silenceTimeout returns how long the attempt may be silent before it becomes suspect.
func (a *attempt) silenceTimeout(gaps flow.GapEstimate) time.Duration {
	if !a.hasDelivered {
		return flow.FirstTokenTimeout
	}
	return gaps.Timeout()
}

// hasExhaustedProbes tells whether the attempt was probed so often without a token that it has probably hung.
func (a *attempt) hasExhaustedProbes() bool {
	if a.hasDelivered {
		return a.probes >= maxProbes
	}
	return a.probes >= maxFirstTokenProbes || a.muteProbes >= maxProbes
}

// sendEvent sends an event to the loop unless the context ends first.
func (g *generation) sendEvent(ctx context.Context, e event) {
	select {
	case g.events <- e:
	case <-ctx.Done():
	}
}

// probeSignal returns the signal that the error of a probe with a context stands for.
func probeSignal(ctx context.Context, err error) flow.Signal {
	switch {
	case err == nil:
		return flow.Alive{}
	case errors.Is(err, engine.ErrForgotten):
		return flow.Forgotten{}
	case ctx.Err() != nil:
		return flow.Unanswered{}
	default:
		return flow.Dead{}
	}
}
