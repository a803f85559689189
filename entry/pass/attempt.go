package pass

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"github.com/pkg/errors"
)

const (
	firstPatience = 3 * time.Second        // firstPatience is the wait for the first event, of which a prompt of 14,400 tokens takes 1.8 s by itself.
	copyPatience  = 600 * time.Millisecond // copyPatience is the wait for the first event of a stream that goes on from a copy.
	silenceMin    = 300 * time.Millisecond // silenceMin is the shortest silence that counts; beside a prompt that is read in chunks, an event takes about 200 ms.
	silenceMax    = 450 * time.Millisecond // silenceMax leaves time to go on elsewhere within a pause of 700 ms.
	silenceShared = 150 * time.Millisecond // silenceShared is the silence that counts when others have just lost the same target.
	lookPeriod    = 50 * time.Millisecond  // lookPeriod is the time between two looks at a stream's silence.
	resumeMargin  = 100 * time.Millisecond // resumeMargin is how long after a loss elsewhere an unheard target is given up.
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

// errSilent ends the connection to a target that fell silent.
var errSilent = errors.New("target fell silent")

// attempt runs the stream at one target, from a copy if its address is given.
func (g *flight) attempt(ctx context.Context, pick *picker.Pick, source string) ending {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := newGuard(g, pick, source != "", cancel)
	defer guard.stop()
	s := Send{Call: g.call, Target: pick.Target, Left: left(g.call, g.request), After: g.last, Source: source}
	g.backup = site.Target{}
	if g.copies {
		if backup, ok := g.backupFor(pick.Target); ok {
			g.backup, s.Backup = backup, backup.Address
		}
	}
	g.pass.counts.sends.Inc()
	reply, err := g.pass.link.Send(ctx, g.pass.outgoing(s, g.request, false))
	var unsent *link.NotSentError
	if errors.As(err, &unsent) {
		g.pass.counts.unsent.Inc()
		return unrun{lost: true, cause: err.Error()}
	}
	g.sends++
	if err != nil {
		return broken{cause: g.cause(ctx, err)}
	}
	defer reply.Close()
	return g.read(ctx, pick, reply, guard)
}

// backupFor returns the target that keeps a copy of the stream while another runs it.
func (g *flight) backupFor(runner site.Target) (site.Target, bool) {
	want := g.want()
	want.Avoid = map[string]bool{runner.Name: true}
	for name := range g.avoid {
		want.Avoid[name] = true
	}
	return g.pass.picker.Backup(want, runner.Domain)
}

// cause names what ended a connection.
func (g *flight) cause(ctx context.Context, err error) string {
	if cause := context.Cause(ctx); cause != nil {
		return cause.Error()
	}
	return err.Error()
}

// read takes the response of a target.
func (g *flight) read(ctx context.Context, pick *picker.Pick, reply *link.Reply, guard *guard) ending {
	switch v := g.pass.dialect.Judge(reply.Status(), reply.Header()).(type) {
	case NotRun:
		_, _ = reply.Whole() // The body says nothing; it is read so that the connection can be kept.
		return unrun{sent: true, lost: v.Misdirected, cause: fmt.Sprintf("status %d", reply.Status())}
	case Unsigned:
		return broken{cause: fmt.Sprintf("response with status %d proves nothing", reply.Status())}
	}
	head := chain.Head{Status: reply.Status(), Header: g.pass.dialect.Response(reply.Header())}
	if reply.Status() != 200 {
		body, err := reply.Whole()
		if err != nil {
			return broken{cause: g.cause(ctx, err)}
		}
		return refusedBy{passed: chain.Passed{Head: head, Body: body}}
	}
	return g.copyEvents(ctx, pick, reply, head, guard)
}

// copyEvents passes whole events on until the stream ends.
func (g *flight) copyEvents(ctx context.Context, pick *picker.Pick, reply *link.Reply, head chain.Head, guard *guard) ending {
	stream := newEvents(reply)
	first := true
	for {
		e, err := stream.next()
		switch {
		case err == io.EOF && g.begun:
			return complete{}
		case err != nil:
			return broken{cause: g.cause(ctx, err)}
		case !follows(g.last, e.id):
			return broken{cause: fmt.Sprintf("event %s came after event %s", e.id, g.last)}
		}
		guard.hear()
		if first {
			first = false
			pick.Read()
			pick.Heard()
		}
		if err := g.deliver(head, e); err != nil {
			return unwanted{}
		}
	}
}

// deliver sends one event to the caller.
func (g *flight) deliver(head chain.Head, e event) error {
	if !g.begun {
		if err := g.request.Outlet.Begin(head); err != nil {
			return err
		}
		g.begun = true
	}
	if err := g.request.Outlet.Event(e.raw); err != nil {
		return err
	}
	now := time.Now()
	if g.sent.IsZero() {
		g.pass.counts.first.Update(now.Sub(g.request.Received).Seconds())
	} else {
		g.gaps = g.gaps.WithGap(now.Sub(g.sent))
		g.pass.counts.pause.Update(now.Sub(g.sent).Seconds())
	}
	g.sent = now
	g.events++
	if e.id != "" {
		g.last = e.id
	}
	return nil
}

// guard ends an attempt whose target falls silent.
type guard struct {
	flight *flight
	pick   *picker.Pick
	copied bool
	began  time.Time
	gaps   flow.Gaps    // gaps is what was known of the stream's pace when the attempt began.
	heard  atomic.Int64 // heard is when the last event came, in nanoseconds since began; 0 before the first.
	cancel context.CancelCauseFunc
	end    chan struct{}
	done   chan struct{}
}

// newGuard starts a closure that looks at an attempt until it is stopped.
func newGuard(g *flight, pick *picker.Pick, copied bool, cancel context.CancelCauseFunc) *guard {
	d := &guard{
		flight: g,
		pick:   pick,
		copied: copied,
		began:  time.Now(),
		gaps:   g.gaps,
		cancel: cancel,
		end:    make(chan struct{}),
		done:   make(chan struct{}),
	}
	go func() {
		defer close(d.done)
		look := time.NewTicker(lookPeriod)
		defer look.Stop()
		for {
			select {
			case <-d.end:
				return
			case <-look.C:
				if d.silent() {
					g.pass.counts.silences.Inc()
					cancel(errSilent)
					return
				}
			}
		}
	}()
	return d
}

// hear notes an event.
func (d *guard) hear() {
	d.heard.Store(int64(time.Since(d.began)))
}

// silent tells whether the target has been silent for too long.
func (d *guard) silent() bool {
	heard := time.Duration(d.heard.Load())
	silence := time.Since(d.began) - heard
	lostElsewhere := d.pick.LostSince(d.began.Add(heard))
	switch {
	case heard > 0 && lostElsewhere:
		return silence > silenceShared
	case heard > 0:
		return silence > min(max(d.gaps.Patience(), silenceMin), silenceMax)
	case lostElsewhere:
		return silence > resumeMargin
	case d.copied:
		return silence > copyPatience
	default:
		return silence > firstPatience
	}
}

// stop ends the looks.
func (d *guard) stop() {
	close(d.end)
	<-d.done
}
