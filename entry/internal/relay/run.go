package relay

import (
	"context"
	"sync"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/token"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
)

// ownerLength is the length of a run's name, enough that no two runs of a request share one.
const ownerLength = 12

// run is one generation, owned by the goroutine that calls loop.
type run struct {
	relay    *Relay
	job      Job
	sink     chain.Sink
	owner    string // owner names this run in the ids of the attempts that it starts.
	entry    Entry
	cursor   token.Cursor
	lineage  flow.Lineage
	gaps     flow.Gaps
	base     int
	texts    []string
	known    uint64 // known is the running hash of texts, valid when base is 0.
	deaths   int
	avoid    map[string]bool
	attempts map[int]*attempt
	pending  *pending // pending is a start that waits for a target, or nil.
	events   chan event
	readers  int
	began    time.Time
	last     time.Time // last is when the latest token was delivered.
	broken   bool      // broken tells that a recovery is under way.
	answer   chain.Answer

	life  context.Context // life ends with the generation's owner.
	end   context.CancelFunc
	group sync.WaitGroup
}

// pending is a start that waits for a target.
type pending struct {
	fromZero bool
	at       time.Time // at is when targets are looked at again.
	until    time.Time // until is when the targets that were lost before are taken too.
}

// newRun returns a generation that has not begun.
func newRun(r *Relay, j Job, sink chain.Sink) *run {
	life, end := context.WithCancel(context.Background())
	g := &run{
		relay:    r,
		job:      j,
		sink:     sink,
		owner:    token.NewID()[:ownerLength],
		entry:    r.journal.Open(j.Spec, j.Base, j.Texts),
		cursor:   j.Cursor,
		lineage:  flow.NewLineage(j.Cursor.Offset, j.Cursor.Hash, j.Cursor.Attempt),
		base:     j.Base,
		texts:    j.Texts,
		avoid:    make(map[string]bool),
		attempts: make(map[int]*attempt),
		events:   make(chan event, 64),
		began:    time.Now(),
		life:     life,
		end:      end,
	}
	g.last = g.began
	for _, text := range j.Texts {
		g.known = flow.NextHash(g.known, text)
	}
	return g
}

// close stops all readers and waits for them.
func (g *run) close() {
	g.end()
	for _, a := range g.attempts {
		a.stop()
		a.release()
	}
	g.group.Wait()
}

// deadline returns when something becomes due.
func (g *run) deadline() time.Time {
	at, a := g.suspect()
	if g.pending != nil && (a == nil || g.pending.at.Before(at)) {
		return g.pending.at
	}
	if a == nil {
		return time.Now().Add(heartbeat)
	}
	return at
}

// deliver writes a token to the caller.
func (g *run) deliver(a *attempt, t flow.Token) {
	now := time.Now()
	g.texts = append(g.texts, t.Text)
	g.known = flow.NextHash(g.known, t.Text)
	g.cursor = g.cursor.WithProgress(a.target.Name, a.owner, a.number, g.lineage.Offset(), g.lineage.Hash())
	g.cursor.Keeper = g.entry.Keeper()
	id, err := g.relay.sealer.Seal(g.job.Spec.Organisation, g.cursor)
	if err == nil {
		err = g.sink.Token(id, t)
	}
	if err != nil {
		g.leave()
		return
	}
	g.relay.counts.tokens.Inc()
	g.entry.Note(progress(a, t))
	g.measure(a, now)
	a.heard = time.Now()
	g.last = a.heard
}

// measure records the gap before a delivered token.
func (g *run) measure(a *attempt, now time.Time) {
	gap := now.Sub(g.last)
	switch {
	case g.broken:
		g.relay.counts.resume.Update(gap.Seconds())
		g.broken = false
	case !a.started:
		g.relay.counts.first.Update(now.Sub(g.began).Seconds())
	default:
		g.gaps = g.gaps.WithGap(gap)
	}
	a.started = true
	a.probes = 0
}

// finish ends the generation with an answer.
func (g *run) finish(answer chain.Answer) {
	if g.answer == nil {
		g.answer = answer
	}
}

// handle takes one event.
func (g *run) handle(e event) {
	switch e := e.(type) {
	case streamed:
		if a := g.byReader(e.reader); a != nil {
			g.take(a, e.event)
			return
		}
		g.relay.counts.dropped.Inc()
	case failed:
		if a := g.byReader(e.reader); a != nil {
			g.sever(a, e.err)
		}
	case probed:
		if a, ok := g.attempts[e.attempt]; ok {
			g.judge(a, signalOf(e.err))
		}
	}
}

// byReader returns the attempt whose current reader has a number, or nil.
func (g *run) byReader(reader int) *attempt {
	for _, a := range g.attempts {
		if a.reader == reader {
			return a
		}
	}
	return nil
}

// leave ends the generation because its caller is gone; the engine goes on for a while so that the caller may come back.
func (g *run) leave() {
	for _, a := range g.attempts {
		g.entry.Abandon(a.target.Name, a.id)
	}
	if len(g.attempts) == 0 {
		g.entry.Close()
	}
	g.finish(chain.Left{})
}

// loop owns the generation until it has an answer.
func (g *run) loop(ctx context.Context) chain.Answer {
	g.begin()
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for g.answer == nil {
		timer.Reset(time.Until(g.deadline()))
		select {
		case e := <-g.events:
			g.handle(e)
		case <-timer.C:
			g.expire()
		case <-beat.C:
			g.beat()
		case <-g.entry.Taken():
			g.finish(chain.Left{})
		case <-ctx.Done():
			g.leave()
		}
	}
	g.settle()
	return g.answer
}

// beat shows the caller that the stream is alive when no token has for a while.
func (g *run) beat() {
	if time.Since(g.last) < heartbeat {
		return
	}
	if err := g.sink.Heartbeat(); err != nil {
		g.leave()
	}
}

// settle closes the books of a generation that has its answer.
func (g *run) settle() {
	switch g.answer.(type) {
	case chain.Left:
		return
	case chain.Refused:
		g.relay.counts.abandoned.Inc()
		for _, a := range g.attempts {
			g.cancel(a)
		}
	}
	g.entry.Close()
}

// refuse ends the generation with a refusal that says truthfully whether it ran.
func (g *run) refuse(kind deny.Kind, ran bool, format string, args ...any) {
	refusal := deny.New(kind, format, args...)
	if ran {
		refusal = refusal.WithExecuted(deny.ExecutedUnknown)
	}
	g.finish(chain.Refuse(refusal.WithRetryAfter(time.Second)))
}

// suspect returns the time at which the first attempt becomes suspect, and that attempt or nil.
func (g *run) suspect() (time.Time, *attempt) {
	var first *attempt
	var at time.Time
	for _, a := range g.attempts {
		d := a.heard.Add(a.patience(g.gaps))
		if first == nil || d.Before(at) {
			first, at = a, d
		}
	}
	return at, first
}

// take decides what an event of a stream means for the answer.
func (g *run) take(a *attempt, e engine.Event) {
	switch e := e.(type) {
	case engine.Token:
		g.takeToken(a, e.Token)
	case engine.Ended:
		g.takeEnd(a, e)
	}
}

// takeEnd finishes the answer if the attempt has delivered all of it.
func (g *run) takeEnd(a *attempt, e engine.Ended) {
	whole := g.lineage.Holds(a.number) && a.next == g.lineage.Offset()
	if e.Complete() && whole {
		g.supersede(a)
		g.finish(chain.Streamed{Reason: e.Reason, Tokens: g.lineage.Offset()})
		return
	}
	g.lose(a, flow.Forgotten{})
}

// takeToken offers a token to the history of the answer.
func (g *run) takeToken(a *attempt, t flow.Token) {
	if t.Offset != a.next {
		g.relay.counts.faults.Inc()
		g.lose(a, flow.Forgotten{})
		return
	}
	a.next++
	a.heard = time.Now()
	if t.Offset < g.lineage.Offset() {
		g.replay(a, t)
		return
	}
	next, verdict := g.lineage.Offer(a.number, t)
	switch v := verdict.(type) {
	case flow.Deliver:
		g.lineage = next
		if loser, ok := g.attempts[v.Superseded]; ok {
			g.discard(loser)
		}
		g.deliver(a, t)
	case flow.Drop:
		g.relay.counts.dropped.Inc()
	case flow.Fault:
		g.relay.counts.faults.Inc()
		g.lose(a, flow.Forgotten{})
	}
}

// replay checks a token that the caller has already; what is not known by its text is proved by the running hash.
func (g *run) replay(a *attempt, t flow.Token) {
	at := t.Offset - g.base
	if at < len(g.texts) {
		if at >= 0 && g.texts[at] != t.Text {
			g.diverge(a)
		}
		return
	}
	g.texts = append(g.texts, t.Text)
	g.known = flow.NextHash(g.known, t.Text)
	g.entry.Note(progress(a, t))
	complete := g.base+len(g.texts) == g.lineage.Offset()
	if complete && g.base == 0 && g.known != g.lineage.Hash() {
		g.diverge(a)
	}
}

// diverge refuses to splice a text that is not the history of the answer.
func (g *run) diverge(a *attempt) {
	g.relay.counts.divergences.Inc()
	g.cancel(a)
	g.refuse(deny.KindLost, true, "generation %s cannot be continued: engine %s produced another text", g.job.Spec.ID, a.target.Name)
}

// progress returns what the journal records of a token.
func progress(a *attempt, t flow.Token) Progress {
	return Progress{Target: a.target.Name, Attempt: a.number, AttemptID: a.id, Token: t}
}
