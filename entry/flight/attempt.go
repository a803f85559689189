package flight

import (
	"context"
	"fmt"
	"io"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/pkg/errors"
)

const (
	firstPatience = 2 * time.Second         // firstPatience is the wait for the first event of an empty prompt.
	tokenPatience = time.Millisecond        // tokenPatience is added for each token of the prompt; an engine reads 8 in that time when nothing runs beside it.
	copyPatience  = 1500 * time.Millisecond // copyPatience is the wait for the first event of a stream that goes on from a copy; to read the prompt again takes a second and more.
	silenceShared = 120 * time.Millisecond  // silenceShared is that silence when another target of the failure domain was lost since.
	firstProbe    = 1200 * time.Millisecond // firstProbe is the time between two probes before the first event; most prompts are read by then.
	nearProbe     = 300 * time.Millisecond  // nearProbe is that time when another target of the failure domain was lost since.
	askAfter      = 2200 * time.Millisecond // askAfter is the wait for the first event after which the target is asked how far it has come; most prompts are read by then.
	askTimeout    = 400 * time.Millisecond  // askTimeout bounds that question.
	reportLag     = 700 * time.Millisecond  // reportLag is the age of a request from which a report must tell of it; reports are some hundred milliseconds old.
	lookPeriod    = 40 * time.Millisecond   // lookPeriod is the time between two looks at a stream's silence.
)

// ending is the sealed set of what came of one attempt: complete, refusedBy, unrun, broken and unwanted.
type ending interface {
	isEnding()
}

// complete says that the caller has all events.
type complete struct{}

// refusedBy is a target's own whole response that is no stream.
type refusedBy struct {
	passed chain.Passed
}

// unrun says that the target has not run the request.
type unrun struct {
	sent  bool // sent tells that the target had it and refused.
	moved bool // moved tells that another target refused it, since the one it was meant for has ended.
	lost  bool // lost tells that the target could not be reached.
	cause string
}

// broken says that the stream ended before its last event.
type broken struct {
	cause string
}

// unwanted says that the caller is gone.
type unwanted struct{}

func (complete) isEnding()  {}
func (refusedBy) isEnding() {}
func (unrun) isEnding()     {}
func (broken) isEnding()    {}
func (unwanted) isEnding()  {}

// run is one attempt on its way.
type run struct {
	flight *flight
	pick   *picker.Pick
	guard  *guard
	reply  *link.Reply
	source send.Source
	backup site.Target // backup is the target that keeps a copy of the run, or the zero value.
}

// attempt runs the stream at one target, from a copy if its address is given.
func (g *flight) attempt(ctx context.Context, pick *picker.Pick, source send.Source) ending {
	g.steady = false
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := newGuard(ctx, g, pick, source != send.Source{}, cancel)
	defer guard.stop()
	s := send.Send{Call: g.call, Target: pick.Target, Left: time.Until(g.request.Deadline), After: g.last, Source: source}
	var backup site.Target
	if g.copies {
		backup, _ = g.backupFor(pick.Target, "")
		s.Backup = backup.Address
	}
	g.sender.Counts.Sends.Inc()
	reply, err := g.sender.Link.Send(ctx, g.sender.Outgoing(s, g.request, false))
	var unsent *link.NotSentError
	if errors.As(err, &unsent) {
		g.sender.Counts.Unsent.Inc()
		return unrun{lost: true, cause: err.Error()}
	}
	g.sends++
	if err != nil {
		return broken{cause: g.cause(ctx, err)}
	}
	defer reply.Close()
	r := &run{flight: g, pick: pick, guard: guard, reply: reply, source: source, backup: backup}
	return r.read(ctx)
}

// backupFor returns the target that keeps a copy of the stream while another runs it, other than one that has just refused.
func (g *flight) backupFor(runner site.Target, refused string) (site.Target, bool) {
	want := g.want()
	want.Avoid = map[string]bool{runner.Name: true, refused: true}
	for name := range g.avoid {
		want.Avoid[name] = true
	}
	return g.sender.Picker.Backup(want, runner.Domain)
}

// cause names what ended a connection.
func (g *flight) cause(ctx context.Context, err error) string {
	if cause := context.Cause(ctx); cause != nil {
		return cause.Error()
	}
	return err.Error()
}

// read takes the response of a target.
func (r *run) read(ctx context.Context) ending {
	g, reply := r.flight, r.reply
	switch v := g.sender.Dialect.Judge(reply.Status(), reply.Header()).(type) {
	case send.NotRun:
		_, _ = reply.Whole() // The body says nothing; it is read so that the connection can be kept.
		g.swapCopy(nil)
		if v.Misdirected {
			// The target that it was sent to is not there, so this one does not count among those that had the request.
			g.sends--
			g.sender.Misdirected(ctx, g.call, r.pick, v.Holder)
		}
		return unrun{sent: true, moved: v.Misdirected, cause: fmt.Sprintf("status %d", reply.Status())}
	case send.Unsigned:
		return broken{cause: fmt.Sprintf("response with status %d proves nothing", reply.Status())}
	}
	head := chain.Head{Status: reply.Status(), Header: g.sender.Dialect.Response(reply.Header())}
	if reply.Status() != 200 {
		body, err := reply.Whole()
		if err != nil {
			return broken{cause: g.cause(ctx, err)}
		}
		return refusedBy{passed: chain.Passed{Head: head, Body: body, Sends: g.sends + g.unsent}}
	}
	return r.copyEvents(ctx, head)
}

// copyEvents passes whole events on until the stream ends.
func (r *run) copyEvents(ctx context.Context, head chain.Head) ending {
	g := r.flight
	stream := newEvents(r.reply)
	first := true
	for {
		e, err := stream.next()
		switch {
		case err == io.EOF && g.begun.Load():
			return complete{}
		case err != nil:
			return broken{cause: g.cause(ctx, err)}
		case !follows(g.last, e.id):
			return broken{cause: fmt.Sprintf("event %s came after event %s", e.id, g.last)}
		}
		r.guard.hear()
		if first {
			first = false
			r.pick.Read()
			r.pick.Heard()
			g.noteResumed(r.source)
			g.growCopy(r.backup)
		}
		if err := g.deliver(head, e); err != nil {
			return unwanted{}
		}
	}
}

// growCopy notes the copy that grows with the run; engines make it from the first event on.
func (g *flight) growCopy(holder site.Target) {
	if holder.Name == "" {
		return
	}
	g.swapCopy(&copied{
		holder:  holder,
		source:  send.Source{Address: holder.Address, Handle: g.call.ID},
		release: g.sender.Picker.Keep(holder),
	})
}

// noteResumed counts a stream that went on at another target.
func (g *flight) noteResumed(source send.Source) {
	if !g.begun.Load() {
		return
	}
	g.resumed++
	g.sender.Counts.Resume.Update(time.Since(g.sent).Seconds())
	if source == (send.Source{}) {
		g.sender.Counts.Rereads.Inc()
		return
	}
	g.sender.Counts.Copies.Inc()
}

// deliver sends one event to the caller.
func (g *flight) deliver(head chain.Head, e event) error {
	if !g.begun.Load() {
		if err := g.request.Outlet.Begin(head); err != nil {
			return err
		}
		g.begun.Store(true)
	}
	if err := g.request.Outlet.Event(e.raw); err != nil {
		return err
	}
	now := time.Now()
	if g.sent.IsZero() {
		g.first = now.Sub(g.request.Received)
		g.sender.Counts.First.Update(g.first.Seconds())
	} else {
		pause := now.Sub(g.sent)
		g.pause = max(g.pause, pause)
		g.sender.Counts.Pause.Update(pause.Seconds())
		if g.steady {
			g.sender.Learn(g.service, func(p flow.Pace) flow.Pace { return p.WithPause(pause) })
		}
	}
	g.sent, g.steady = now, true
	g.events++
	if e.id != "" {
		g.last = e.id
	}
	return nil
}
