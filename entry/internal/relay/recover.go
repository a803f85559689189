package relay

import (
	"context"
	"maps"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/route"
	"bramleywharf.example/entry/internal/engine"
	"github.com/pkg/errors"
)

// begin starts a new generation, or resumes one by attaching to the attempt named in its cursor.
func (g *generation) begin() {
	if g.job.Cursor.Attempt == 0 {
		g.startAttempt(false)
		return
	}
	g.recovering = true
	target, ok := g.relay.picker.Find(g.cursor.Target)
	if !ok {
		g.startAttempt(false)
		return
	}
	g.lineage = flow.NewLineage(g.cursor.Offset, g.cursor.Hash, g.cursor.Attempt-1)
	var number int
	g.lineage, number = g.lineage.WithAttempt()
	a := g.newAttempt(number, target, g.cursor.RunID)
	g.attach(a, g.attachOffset(a))
}

// attachOffset returns the offset from which to read an attempt that another run started, early enough to learn as much
// of the text as possible. Without known texts, only attempt 1 is read from 0, since only its engine is sure to stream
// all tokens; for others the known texts begin at the caller's offset.
func (g *generation) attachOffset(a *attempt) int {
	if len(g.texts) > 0 {
		return min(g.textsOffset+len(g.texts), g.lineage.Offset())
	}
	if a.number == 1 {
		return 0
	}
	g.textsOffset = g.lineage.Offset()
	return g.textsOffset
}

// newAttempt adds an attempt on a target; runID is the run that started it.
func (g *generation) newAttempt(number int, target route.Candidate, runID string) *attempt {
	a := &attempt{
		number:        number,
		target:        target,
		runID:         runID,
		id:            attemptID(g.job.Spec.ID, number, runID),
		lastActivity:  time.Now(),
		releaseTarget: g.relay.picker.Hold(target.Name),
	}
	g.attempts[number] = a
	if g.job.Held != nil {
		g.job.Held()
	}
	return a
}

// attach streams a running attempt from an offset over a new connection.
func (g *generation) attach(a *attempt, from int) {
	g.relay.stats.generationsAttached.Inc()
	a.next = from
	address, id := a.target.Address, a.id
	g.startReader(a, func(ctx context.Context, emit func(engine.Event)) error {
		return g.relay.engines.Attach(ctx, address, id, from, emit)
	})
}

// cancel stops an attempt at its engine in the background.
func (g *generation) cancel(a *attempt) {
	address, id := a.target.Address, a.id
	engines := g.relay.engines
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = engines.Cancel(ctx, address, id)
	}()
}

// discard removes an attempt and stops it at its engine.
func (g *generation) discard(a *attempt) {
	g.remove(a)
	g.cancel(a)
}

// remove stops reading an attempt and releases its target.
func (g *generation) remove(a *attempt) {
	a.stopReader()
	a.releaseTarget()
	delete(g.attempts, a.number)
	g.lineage = g.lineage.WithoutAttempt(a.number)
}

// startAttempt starts an attempt on a target that is not avoided, as a rival if another attempt is running. It
// postpones the start if there is no target. With regenerate, the attempt begins at offset 0 instead of continuing
// from the known tokens.
func (g *generation) startAttempt(regenerate bool) {
	if g.lineage.Offset() > 0 && !g.job.Prompt {
		if len(g.attempts) > 0 && time.Since(g.lastDelivery) < pickTimeout {
			return
		}
		g.refuse(deny.KindLost, true, "generation %s cannot be continued: its prompt is no longer held; send the request again with Last-Event-ID", g.job.Spec.ID)
		return
	}
	target, ok := g.relay.picker.Pick(g.job.Spec, g.avoidedTargets)
	if !ok {
		g.postponeStart(regenerate)
		return
	}
	g.pendingStart = nil
	g.startOn(target, g.forcedTokens(regenerate))
}

// startOn starts an attempt on a target; its answer begins with the forced tokens.
func (g *generation) startOn(target route.Candidate, forced []string) {
	var number int
	if len(g.attempts) > 0 {
		g.lineage, number = g.lineage.WithRival()
	} else {
		g.lineage, number = g.lineage.WithAttempt()
	}
	a := g.newAttempt(number, target, g.runID)
	a.next = len(forced)
	request := engine.Request{ID: a.id, Spec: g.job.Spec, Forced: forced}
	g.startReader(a, func(ctx context.Context, emit func(engine.Event)) error {
		return g.relay.engines.Start(ctx, target.Address, request, emit)
	})
}

// postponeStart schedules another try. After pickTimeout it allows the avoided targets again, and if that does not help
// either, it refuses the generation unless an attempt is still running.
func (g *generation) postponeStart(regenerate bool) {
	now := time.Now()
	if g.pendingStart == nil {
		g.pendingStart = &pendingStart{avoidUntil: now.Add(pickTimeout)}
	}
	g.pendingStart.regenerate = regenerate
	g.pendingStart.dueAt = now.Add(pickRetryDelay)
	switch {
	case now.Before(g.pendingStart.avoidUntil):
	case len(g.avoidedTargets) > 0:
		clear(g.avoidedTargets)
	case len(g.attempts) == 0:
		g.refuse(deny.KindUnavailable, g.lineage.LastAttempt() > 0, "no target can run model %s now", g.job.Spec.Model)
	default:
		g.pendingStart = nil
	}
}

// forcedTokens returns the tokens that a new attempt begins with. It returns none and discards the known texts if they
// do not begin at offset 0.
func (g *generation) forcedTokens(regenerate bool) []string {
	if g.textsOffset > 0 {
		g.textsOffset, g.texts, g.textsHash = 0, nil, 0
	}
	if regenerate {
		return nil
	}
	return append([]string(nil), g.texts...)
}

// handleTimeout runs a postponed start that is due, or acts on an attempt that was silent for too long.
func (g *generation) handleTimeout() {
	if g.pendingStart != nil && !time.Now().Before(g.pendingStart.dueAt) {
		g.startAttempt(g.pendingStart.regenerate)
		return
	}
	dueAt, a := g.nextSuspect()
	if a == nil || time.Now().Before(dueAt) || len(g.events) > 0 {
		return
	}
	switch {
	case a.hasExhaustedProbes() && time.Since(g.lastDelivery) > maxSilence:
		g.failAttempt(a, flow.Dead{})
	case len(g.attempts) > 1:
		g.startProbe(a)
	case a.hasExhaustedProbes() && g.hasAlternative():
		g.handleSignal(a, flow.Stalled{})
	case !a.hasDelivered:
		g.startProbe(a)
	default:
		g.handleSignal(a, flow.Silent{})
	}
}

// hasAlternative reports whether a target without an attempt can take the generation.
func (g *generation) hasAlternative() bool {
	if _, abandons := flow.Decide(g.job.Policy, flow.Dead{}, g.lostEngines).(flow.Abandon); abandons {
		return false
	}
	avoided := maps.Clone(g.avoidedTargets)
	for _, a := range g.attempts {
		avoided[a.target.Name] = true
	}
	_, ok := g.relay.picker.Pick(g.job.Spec, avoided)
	return ok
}

// handleSignal carries out the recovery step for a signal about an attempt.
func (g *generation) handleSignal(a *attempt, s flow.Signal) {
	switch step := flow.Decide(g.job.Policy, s, g.lostEngines).(type) {
	case flow.Attach:
		g.attach(a, a.next)
	case flow.Probe:
		g.recovering = g.recovering || a.hasDelivered
		g.startProbe(a)
	case flow.Race:
		g.race(a, s)
	case flow.Wait:
		a.lastActivity = time.Now()
	default:
		g.failOver(a, s, step)
	}
}

// race starts a rival of an attempt and attaches to the attempt again. If two are running already, a rival that causes
// the signal is replaced once another target can take its place.
func (g *generation) race(a *attempt, s flow.Signal) {
	if len(g.attempts) > 1 {
		if g.isRival(a) && g.hasAlternative() { // hasAlternative includes the bound on lost engines.
			g.failOver(a, s, flow.Continue{})
		}
		return
	}
	// So many losses are only possible if rivals of the attempt were lost, which would have ended a lone one.
	if g.lostEngines > flow.MaxLostEngines {
		g.startProbe(a)
		return
	}
	g.recovering = true
	g.avoidedTargets[a.target.Name] = true
	g.relay.picker.Suspect(a.target.Name)
	g.startAttempt(false)
	if g.answer == nil {
		a.probes++
		g.attach(a, a.next)
	}
}

// isRival reports whether an attempt races an earlier one that still runs.
func (g *generation) isRival(a *attempt) bool {
	return a.number != g.lineage.CurrentAttempt()
}

// failAttempt discards an attempt and, if it was the last, takes the recovery step for the signal.
func (g *generation) failAttempt(a *attempt, s flow.Signal) {
	g.failOver(a, s, flow.Decide(g.job.Policy, s, g.lostEngines))
}

// failOver discards an attempt and avoids its target. It takes the step if no other attempt is running or pending, and
// replaces a rival unless too many engines are lost.
func (g *generation) failOver(a *attempt, s flow.Signal, step flow.Step) {
	wasRival := g.isRival(a)
	g.lostEngines++
	g.recovering = g.recovering || g.lineage.Offset() > 0
	g.avoidedTargets[a.target.Name] = true
	g.relay.picker.Suspect(a.target.Name)
	g.discard(a)
	if len(g.attempts) > 0 {
		if _, abandons := step.(flow.Abandon); wasRival && !abandons {
			g.startAttempt(false)
		}
		return
	}
	if g.pendingStart != nil {
		return
	}
	g.relay.stats.generationsContinued.Inc()
	switch step.(type) {
	case flow.Abandon:
		g.refuse(deny.KindLost, true, "generation %s lost %d engines, the last by %T; it is not tried again", g.job.Spec.ID, g.lostEngines, s)
	case flow.Regenerate:
		g.startAttempt(true)
	default:
		g.startAttempt(false)
	}
}

// handleReaderError handles a stream that ended with an error. A target that refused the attempt is avoided, but does
// not count as a lost engine.
func (g *generation) handleReaderError(a *attempt, err error) {
	switch {
	case errors.Is(err, engine.ErrRefused):
		wasRival := g.isRival(a)
		g.avoidedTargets[a.target.Name] = true
		g.remove(a)
		if (len(g.attempts) == 0 || wasRival) && g.pendingStart == nil {
			g.startAttempt(false)
		}
	case errors.Is(err, engine.ErrForgotten):
		g.failAttempt(a, flow.Forgotten{})
	case errors.Is(err, engine.ErrRange):
		g.failAttempt(a, flow.Forgotten{})
	case a.hasExhaustedProbes():
		a.lastActivity = time.Now() // The next probe follows after a silence.
	case len(g.attempts) > 1:
		g.startProbe(a)
	default:
		g.handleSignal(a, flow.Severed{})
	}
}

// discardRival discards the rival, if any, of a generation that may go on in another run. No event id names a rival.
func (g *generation) discardRival() {
	for _, a := range g.attempts {
		if g.isRival(a) {
			g.discard(a)
		}
	}
}

// discardOthers discards every attempt but the one that completed the answer.
func (g *generation) discardOthers(winner *attempt) {
	for _, a := range g.attempts {
		if a != winner {
			g.discard(a)
		}
	}
}
