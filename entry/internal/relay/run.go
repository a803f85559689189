package relay

import (
	"context"
	"sync"
	"time"

	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
)

// runIDLength is the number of random characters in a run's id, enough to tell the runs of one request apart.
const runIDLength = 12

// generation is the state of one run of a generation, owned by the goroutine that runs loop. Readers and probes only
// send to events.
type generation struct {
	relay          *Relay
	job            Job
	sink           chain.Sink
	runID          string // runID is part of the ids of the attempts that this run starts.
	journalEntry   Entry
	cursor         cursor.Cursor
	lineage        flow.Lineage
	gaps           flow.GapEstimate
	textsOffset    int      // textsOffset is the offset of the first of texts.
	texts          []string // texts holds the known tokens of the answer.
	textsHash      uint64   // textsHash is the running hash of texts, valid while textsOffset is 0.
	lostEngines    int
	avoidedTargets map[string]bool
	attempts       map[int]*attempt // attempts holds the running attempts by number.
	pendingStart   *pendingStart    // pendingStart is nil unless a start waits for a target.
	events         chan event
	lastReaderID   int
	startedAt      time.Time
	lastDelivery   time.Time
	recovering     bool // recovering is set from a loss until the next delivered token.
	answer         chain.Answer

	runCtx    context.Context // runCtx ends when this run of the generation does.
	cancelRun context.CancelFunc
	workers   sync.WaitGroup // workers counts the readers and probes.
}

// pendingStart is a start that waits for a target.
type pendingStart struct {
	regenerate bool
	dueAt      time.Time
	avoidUntil time.Time // avoidUntil is when the avoided targets are allowed again.
}

// newGeneration returns a generation whose loop has not started.
func newGeneration(r *Relay, j Job, sink chain.Sink) *generation {
	runCtx, cancelRun := context.WithCancel(context.Background())
	g := &generation{
		relay:          r,
		job:            j,
		sink:           sink,
		runID:          cursor.NewID()[:runIDLength],
		journalEntry:   r.journal.Open(j.Spec, j.Base, j.Texts),
		cursor:         j.Cursor,
		lineage:        flow.NewLineage(j.Cursor.Offset, j.Cursor.Hash, j.Cursor.Attempt),
		textsOffset:    j.Base,
		texts:          j.Texts,
		avoidedTargets: make(map[string]bool),
		attempts:       make(map[int]*attempt),
		events:         make(chan event, 64),
		startedAt:      time.Now(),
		runCtx:         runCtx,
		cancelRun:      cancelRun,
	}
	g.lastDelivery = g.startedAt
	for _, text := range j.Texts {
		g.textsHash = flow.NextHash(g.textsHash, text)
	}
	return g
}

// close releases all targets, stops the readers and probes, and waits for them.
func (g *generation) close() {
	g.cancelRun()
	for _, a := range g.attempts {
		a.stopReader()
		a.releaseTarget()
	}
	g.workers.Wait()
}

// nextDeadline returns when a postponed start or a suspect attempt has to be handled.
func (g *generation) nextDeadline() time.Time {
	dueAt, a := g.nextSuspect()
	if g.pendingStart != nil && (a == nil || g.pendingStart.dueAt.Before(dueAt)) {
		return g.pendingStart.dueAt
	}
	if a == nil {
		return time.Now().Add(heartbeatInterval)
	}
	return dueAt
}

// deliver sends a token to the caller and records it in the journal.
func (g *generation) deliver(a *attempt, t flow.Token) {
	receivedAt := time.Now()
	if g.textsOffset+len(g.texts) != t.Offset {
		g.textsOffset, g.texts, g.textsHash = t.Offset, nil, 0
	}
	g.texts = append(g.texts, t.Text)
	g.textsHash = flow.NextHash(g.textsHash, t.Text)
	g.cursor = g.cursor.WithProgress(a.target.Name, a.runID, a.number, g.lineage.Offset(), g.lineage.Hash())
	g.cursor.Backup = g.journalEntry.Keeper()
	id, err := g.relay.sealer.Seal(g.job.Spec.Organisation, g.cursor)
	if err == nil {
		err = g.sink.Token(id, t)
	}
	if err != nil {
		g.handleCallerGone()
		return
	}
	g.relay.stats.tokensRelayed.Inc()
	g.journalEntry.Note(newProgress(a, t))
	g.recordTiming(a, receivedAt)
	a.lastActivity = time.Now()
	g.lastDelivery = a.lastActivity
}

// recordTiming records the time before a delivered token as recovery time, first-token time or normal gap.
func (g *generation) recordTiming(a *attempt, receivedAt time.Time) {
	gap := receivedAt.Sub(g.lastDelivery)
	switch {
	case g.recovering:
		g.relay.stats.resumeSeconds.Update(gap.Seconds())
		g.recovering = false
	case !a.hasDelivered:
		g.relay.stats.firstTokenSeconds.Update(receivedAt.Sub(g.startedAt).Seconds())
	default:
		g.gaps = g.gaps.WithGap(gap)
	}
	a.hasDelivered = true
	a.probes, a.muteProbes = 0, 0
}

// finish sets the answer, which ends the loop, unless one is already set.
func (g *generation) finish(answer chain.Answer) {
	if g.answer == nil {
		g.answer = answer
	}
}

// handleEvent handles an event from a reader or probe; events from replaced readers are dropped.
func (g *generation) handleEvent(e event) {
	switch e := e.(type) {
	case streamEvent:
		if a := g.attemptByReader(e.readerID); a != nil {
			g.handleStreamEvent(a, e.event)
			return
		}
		g.relay.stats.tokensDropped.Inc()
	case readerFailed:
		if a := g.attemptByReader(e.readerID); a != nil {
			g.handleReaderError(a, e.err)
		}
	case probeResult:
		if a, ok := g.attempts[e.attempt]; ok {
			g.handleProbeResult(a, e.signal)
		}
	}
}

// handleProbeResult handles what a probe found, unless a token of the attempt has shown more since.
func (g *generation) handleProbeResult(a *attempt, s flow.Signal) {
	a.isProbed = false
	switch s.(type) {
	case flow.Alive, flow.Unanswered:
		if a.probes == 0 {
			return
		}
	}
	if _, isMute := s.(flow.Unanswered); isMute {
		a.muteProbes++
	} else {
		a.muteProbes = 0
	}
	g.handleSignal(a, s)
}

// attemptByReader returns the attempt whose current reader has the id, or nil.
func (g *generation) attemptByReader(readerID int) *attempt {
	for _, a := range g.attempts {
		if a.readerID == readerID {
			return a
		}
	}
	return nil
}

// handleCallerGone ends this run. The engine continues for a while, so that the caller can resume the generation.
func (g *generation) handleCallerGone() {
	g.discardRival()
	for _, a := range g.attempts {
		g.journalEntry.Abandon(a.target.Name, a.id)
	}
	if len(g.attempts) == 0 {
		g.journalEntry.Close()
	}
	g.finish(chain.Left{})
}

// loop handles events and timeouts until the generation has an answer.
func (g *generation) loop(ctx context.Context) chain.Answer {
	g.begin()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	deadlineTimer := time.NewTimer(time.Hour)
	defer deadlineTimer.Stop()
	for g.answer == nil {
		deadlineTimer.Reset(time.Until(g.nextDeadline()))
		select {
		case e := <-g.events:
			g.handleEvent(e)
		case <-deadlineTimer.C:
			g.handleTimeout()
		case <-heartbeat.C:
			g.heartbeat()
		case <-g.journalEntry.Taken():
			g.discardRival()
			g.finish(chain.Left{})
		case <-ctx.Done():
			g.handleCallerGone()
		}
	}
	g.cleanUp()
	return g.answer
}

// heartbeat sends the caller a heartbeat if no token was delivered within the last interval.
func (g *generation) heartbeat() {
	if time.Since(g.lastDelivery) < heartbeatInterval {
		return
	}
	if err := g.sink.Heartbeat(); err != nil {
		g.handleCallerGone()
	}
}

// cleanUp closes the journal entry and stops the attempts of a refused generation. It leaves both alone if the caller
// left or another run took over, so that the generation can continue.
func (g *generation) cleanUp() {
	switch g.answer.(type) {
	case chain.Left:
		return
	case chain.Refused:
		g.relay.stats.generationsLost.Inc()
		for _, a := range g.attempts {
			g.cancel(a)
		}
	}
	g.journalEntry.Close()
}

// refuse ends the generation with a refusal; mayHaveRun tells whether an engine may have executed part of it.
func (g *generation) refuse(kind deny.Kind, mayHaveRun bool, format string, args ...any) {
	refusal := deny.New(kind, format, args...)
	if mayHaveRun {
		refusal = refusal.WithExecuted(deny.ExecutedUnknown)
	}
	g.finish(chain.Refuse(refusal.WithRetryAfter(time.Second)))
}

// nextSuspect returns the attempt that becomes suspect first, or nil, and the time at which it does.
func (g *generation) nextSuspect() (time.Time, *attempt) {
	var first *attempt
	var earliest time.Time
	for _, a := range g.attempts {
		if a.isProbed {
			continue
		}
		timeout := a.silenceTimeout(g.gaps)
		if len(g.attempts) > 1 && a.hasExhaustedProbes() {
			timeout = max(timeout, flow.MaxTokenTimeout)
		}
		suspectAt := a.lastActivity.Add(timeout)
		if first == nil || suspectAt.Before(earliest) {
			first, earliest = a, suspectAt
		}
	}
	return earliest, first
}

// handleStreamEvent handles an event from an attempt's current stream.
func (g *generation) handleStreamEvent(a *attempt, e engine.Event) {
	switch e := e.(type) {
	case engine.Token:
		g.handleToken(a, e.Token)
	case engine.Ended:
		g.handleEnd(a, e)
	}
}

// handleEnd finishes the answer if the stream ended normally and all of its tokens were delivered.
// Otherwise the attempt fails.
func (g *generation) handleEnd(a *attempt, e engine.Ended) {
	allDelivered := g.lineage.CanExtend(a.number) && a.next == g.lineage.Offset()
	if e.Complete() && allDelivered {
		g.discardOthers(a)
		g.finish(chain.Streamed{Reason: e.Reason, Tokens: g.lineage.Offset()})
		return
	}
	g.failAttempt(a, flow.Forgotten{})
}

// handleToken delivers a token if it is the next of the answer. A token that skips or repeats an offset fails the
// attempt.
func (g *generation) handleToken(a *attempt, t flow.Token) {
	if t.Offset != a.next {
		g.relay.stats.tokenFaults.Inc()
		g.failAttempt(a, flow.Forgotten{})
		return
	}
	a.next++
	a.lastActivity = time.Now()
	if t.Offset < g.lineage.Offset() {
		g.checkReplayed(a, t)
		return
	}
	next, verdict := g.lineage.Offer(a.number, t)
	switch v := verdict.(type) {
	case flow.Deliver:
		g.lineage = next
		g.pendingStart = nil
		if loser, ok := g.attempts[v.Superseded]; ok {
			if loser.muteProbes > 0 || loser.hasExhaustedProbes() {
				g.lostEngines++
			}
			g.discard(loser)
		}
		g.deliver(a, t)
	case flow.Drop:
		g.relay.stats.tokensDropped.Inc()
	case flow.Fault:
		g.relay.stats.tokenFaults.Inc()
		g.failAttempt(a, flow.Forgotten{})
	}
}

// checkReplayed compares a token that the caller already has with the known text. Tokens whose text is not known are
// collected and verified by the running hash once all are there.
func (g *generation) checkReplayed(a *attempt, t flow.Token) {
	index := t.Offset - g.textsOffset
	if index < len(g.texts) {
		if index >= 0 && g.texts[index] != t.Text {
			g.refuseDiverged(a)
		}
		return
	}
	if index > len(g.texts) {
		return // A continuation that begins at offset 0 has replaced the known texts.
	}
	g.texts = append(g.texts, t.Text)
	g.textsHash = flow.NextHash(g.textsHash, t.Text)
	g.journalEntry.Note(newProgress(a, t))
	allKnown := g.textsOffset+len(g.texts) == g.lineage.Offset()
	if allKnown && g.textsOffset == 0 && g.textsHash != g.lineage.Hash() {
		g.refuseDiverged(a)
	}
}

// refuseDiverged refuses the generation because an engine replayed a text that differs from the delivered one.
func (g *generation) refuseDiverged(a *attempt) {
	g.relay.stats.generationsDiverged.Inc()
	g.cancel(a)
	g.refuse(deny.KindLost, true, "generation %s cannot be continued: engine %s produced another text", g.job.Spec.ID, a.target.Name)
}

// newProgress returns the journal record of a token.
func newProgress(a *attempt, t flow.Token) Progress {
	return Progress{Target: a.target.Name, Attempt: a.number, AttemptID: a.id, Token: t}
}
