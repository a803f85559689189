package relay

import (
	"context"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/route"
	"bramleywharf.example/entry/internal/engine"
	"github.com/pkg/errors"
)

// begin starts a new generation or attaches to a running one.
func (g *run) begin() {
	if g.job.Cursor.Attempt == 0 {
		g.elsewhere(false)
		return
	}
	g.broken = true
	target, ok := g.relay.picker.Find(g.cursor.Target)
	if !ok {
		g.elsewhere(false)
		return
	}
	g.lineage = flow.NewLineage(g.cursor.Offset, g.cursor.Hash, g.cursor.Attempt-1)
	var number int
	g.lineage, number = g.lineage.WithAttempt()
	a := g.newAttempt(number, target, g.cursor.Owner)
	g.attach(a, g.firstUnknown(a))
}

// firstUnknown returns the offset from which an adopted attempt is read, so that as much of the text as possible becomes known.
func (g *run) firstUnknown(a *attempt) int {
	if len(g.texts) > 0 {
		return min(g.base+len(g.texts), g.lineage.Offset())
	}
	if a.number == 1 {
		return 0
	}
	g.base = g.lineage.Offset()
	return g.base
}

// newAttempt adds an attempt on a target, started by the run that is its owner.
func (g *run) newAttempt(number int, target route.Candidate, owner string) *attempt {
	a := &attempt{
		number:  number,
		target:  target,
		owner:   owner,
		id:      attemptID(g.job.Spec.ID, number, owner),
		heard:   time.Now(),
		release: g.relay.picker.Hold(target.Name),
	}
	g.attempts[number] = a
	if g.job.Held != nil {
		g.job.Held()
	}
	return a
}

// attach reads a running attempt from an offset on over a fresh connection.
func (g *run) attach(a *attempt, from int) {
	g.relay.counts.attached.Inc()
	a.next = from
	address, id := a.target.Address, a.id
	g.newReader(a, func(ctx context.Context, emit func(engine.Event)) error {
		return g.relay.engines.Attach(ctx, address, id, from, emit)
	})
}

// cancel stops an attempt at its engine without waiting.
func (g *run) cancel(a *attempt) {
	address, id := a.target.Address, a.id
	engines := g.relay.engines
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelBound)
		defer cancel()
		_ = engines.Cancel(ctx, address, id)
	}()
}

// discard takes nothing more from an attempt and stops it at its engine.
func (g *run) discard(a *attempt) {
	g.remove(a)
	g.cancel(a)
}

// remove takes nothing more from an attempt.
func (g *run) remove(a *attempt) {
	a.stop()
	a.release()
	delete(g.attempts, a.number)
	g.lineage = g.lineage.WithoutAttempt(a.number)
}

// elsewhere starts an attempt on another target, as a rival if one is running; without a target it is tried again for a while.
func (g *run) elsewhere(fromZero bool) {
	if g.lineage.Offset() > 0 && !g.job.Prompt {
		g.refuse(deny.KindLost, true, "generation %s cannot be continued: its prompt is no longer held; send the request again with Last-Event-ID", g.job.Spec.ID)
		return
	}
	target, ok := g.relay.picker.Pick(g.job.Spec, g.avoid)
	if !ok {
		g.postpone(fromZero)
		return
	}
	g.pending = nil
	g.start(target, g.forced(fromZero))
}

// start starts an attempt on a target with the tokens that it begins with.
func (g *run) start(target route.Candidate, forced []string) {
	var number int
	if len(g.attempts) > 0 {
		g.lineage, number = g.lineage.WithRival()
	} else {
		g.lineage, number = g.lineage.WithAttempt()
	}
	a := g.newAttempt(number, target, g.owner)
	a.next = len(forced)
	request := engine.Request{ID: a.id, Spec: g.job.Spec, Forced: forced}
	g.newReader(a, func(ctx context.Context, emit func(engine.Event)) error {
		return g.relay.engines.Start(ctx, target.Address, request, emit)
	})
}

// postpone tries again soon, then with the targets that were lost before, and refuses when none appears in time.
func (g *run) postpone(fromZero bool) {
	now := time.Now()
	if g.pending == nil {
		g.pending = &pending{until: now.Add(pickPatience)}
	}
	g.pending.fromZero = fromZero
	g.pending.at = now.Add(pickPause)
	switch {
	case now.Before(g.pending.until):
	case len(g.avoid) > 0:
		clear(g.avoid)
	case len(g.attempts) == 0:
		g.refuse(deny.KindUnavailable, g.lineage.Last() > 0, "no target can run model %s now", g.job.Spec.Model)
	default:
		g.pending = nil
	}
}

// forced returns the tokens that a new attempt begins with; none when the text is not known from its beginning.
func (g *run) forced(fromZero bool) []string {
	if g.base > 0 {
		g.base, g.texts, g.known = 0, nil, 0
	}
	if fromZero {
		return nil
	}
	return append([]string(nil), g.texts...)
}

// expire does what has become due: a postponed start, or the judgement of an attempt whose patience has run out.
func (g *run) expire() {
	if g.pending != nil && !time.Now().Before(g.pending.at) {
		g.elsewhere(g.pending.fromZero)
		return
	}
	at, a := g.suspect()
	if a == nil || time.Now().Before(at) || len(g.events) > 0 {
		return
	}
	if len(g.attempts) > 1 || a.worn() {
		g.lose(a, flow.Dead{})
		return
	}
	if !a.started {
		g.newProbe(a)
		return
	}
	g.judge(a, flow.Silent{})
}

// judge carries out the step that a signal about an attempt asks for.
func (g *run) judge(a *attempt, s flow.Signal) {
	switch step := flow.Decide(g.job.Policy, s, g.deaths).(type) {
	case flow.Attach:
		g.attach(a, a.next)
	case flow.Probe:
		g.broken = g.broken || a.started
		g.newProbe(a)
	case flow.Race:
		g.broken = true
		g.avoid[a.target.Name] = true
		g.relay.picker.Suspect(a.target.Name)
		g.elsewhere(false)
		if g.answer == nil {
			a.probes++
			g.attach(a, a.next)
		}
	case flow.Wait:
		a.heard = time.Now()
	default:
		g.follow(a, s, step)
	}
}

// lose gives an attempt up and goes on elsewhere when it was the last.
func (g *run) lose(a *attempt, s flow.Signal) {
	g.follow(a, s, flow.Decide(g.job.Policy, s, g.deaths))
}

// follow gives an attempt up and carries out the step that follows when no other attempt is running.
func (g *run) follow(a *attempt, s flow.Signal, step flow.Step) {
	g.deaths++
	g.broken = g.broken || g.lineage.Offset() > 0
	g.avoid[a.target.Name] = true
	g.relay.picker.Suspect(a.target.Name)
	g.discard(a)
	if len(g.attempts) > 0 || g.pending != nil {
		return
	}
	g.relay.counts.recovered.Inc()
	switch step.(type) {
	case flow.Abandon:
		g.refuse(deny.KindLost, true, "generation %s lost %d engines, the last by %T; it is not tried again", g.job.Spec.ID, g.deaths, s)
	case flow.Regenerate:
		g.elsewhere(true)
	default:
		g.elsewhere(false)
	}
}

// sever handles a reader that ended by an error.
func (g *run) sever(a *attempt, err error) {
	switch {
	case errors.Is(err, engine.ErrRefused):
		g.avoid[a.target.Name] = true
		g.remove(a)
		if len(g.attempts) == 0 && g.pending == nil {
			g.elsewhere(false)
		}
	case errors.Is(err, engine.ErrForgotten):
		g.lose(a, flow.Forgotten{})
	case errors.Is(err, engine.ErrRange):
		g.lose(a, flow.Forgotten{})
	case len(g.attempts) > 1 || a.worn():
		g.lose(a, flow.Dead{})
	default:
		g.judge(a, flow.Severed{})
	}
}

// supersede stops every attempt but the one that completed the answer.
func (g *run) supersede(winner *attempt) {
	for _, a := range g.attempts {
		if a != winner {
			g.discard(a)
		}
	}
}
