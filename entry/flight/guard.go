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

// Errors that end the connection to a target.
var (
	errSilent = errors.New("target fell silent")
	errDark   = errors.New("target is silent and takes no connection")
	errMissed = errors.New("target has made events that did not arrive, or does not have the request")
)

// guard ends an attempt whose target falls silent.
type guard struct {
	flight  *flight
	pick    *picker.Pick
	copied  bool
	prompt  int
	began   time.Time
	heard   atomic.Int64  // heard is when the last event came, in nanoseconds since began; 0 before the first.
	probed  time.Duration // probed is when the target was probed last, since began.
	sender  *send.Sender
	ordered time.Time   // ordered is when a copy was ordered last.
	refused string      // refused names the target that refused to hold a copy last; the closure that makes a copy writes it while copying is set.
	copying atomic.Bool // copying tells that a copy is being made.
	end     chan struct{}
	done    chan struct{}
}

// newGuard starts a closure that looks at an attempt until it is stopped.
func newGuard(ctx context.Context, g *flight, pick *picker.Pick, copied bool, cancel context.CancelCauseFunc) *guard {
	d := &guard{
		flight: g,
		pick:   pick,
		copied: copied,
		prompt: g.request.Prompt,
		began:  time.Now(),
		sender: g.sender,
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
			}
			if err := d.look(ctx); err != nil {
				g.sender.Counts.Silences.Inc()
				cancel(err)
				return
			}
			d.keepCopy(ctx)
		}
	}()
	return d
}

// hear notes an event.
func (d *guard) hear() {
	d.heard.Store(int64(time.Since(d.began)))
}

// look returns an error when the target has been silent for too long, or takes no connections when it is probed. A stream that may not be resumed is not ended for silence, since nothing could follow.
func (d *guard) look(ctx context.Context) error {
	if !d.flight.policy.Resumable {
		return nil
	}
	heard := time.Duration(d.heard.Load())
	now := time.Since(d.began)
	silence := now - heard
	if silence > d.patience(heard) {
		if heard > 0 {
			d.sender.Learn(d.flight.service, func(p flow.Pace) flow.Pace { return p.WithSilence(silence) })
		}
		return errSilent
	}
	near := d.pick.DomainLostSince(d.began.Add(max(heard, d.probed)))
	if silence <= d.unsure(heard, near) || d.probed > heard && now-d.probed < pauseOf(near) {
		return nil
	}
	d.probed = now
	var err error
	if heard == 0 && !d.copied && (near || now > askAfter) {
		err = d.ask(ctx)
	} else if d.sender.Link.Probe(ctx, d.pick.Target.Address) != nil {
		err = errDark
	}
	if ctx.Err() != nil || time.Duration(d.heard.Load()) != heard {
		return nil
	}
	return err
}

// ask asks the target how far the stream has come, and returns an error when its events are lost or it is not there.
func (d *guard) ask(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, body, err := d.sender.Link.Exchange(ctx, d.sender.Dialect.Ask(d.pick.Target))
	var unsent *link.NotSentError
	if errors.As(err, &unsent) {
		return errDark
	}
	if err != nil {
		return nil // A target that is slow to report may still be reading the prompt; the patience decides.
	}
	p, err := d.sender.Dialect.Progress(d.flight.call.ID, body)
	if err != nil {
		d.sender.Log.WithError(err).WithField("target", d.pick.Target.Name).Info("report cannot be read")
		return nil
	}
	if p.Events > 0 || !p.Listed && p.Unnamed == 0 && time.Since(d.began) > reportLag {
		return errMissed
	}
	return nil
}

// patience returns the silence that ends an attempt.
func (d *guard) patience(heard time.Duration) time.Duration {
	switch {
	case heard > 0:
		return d.sender.Pace(d.flight.service).Cut()
	case d.copied:
		return copyPatience
	default:
		return firstPatience + time.Duration(d.prompt)*tokenPatience
	}
}

// stop ends the looks.
func (d *guard) stop() {
	close(d.end)
	<-d.done
}

// pauseOf returns the least time between two probes.
func pauseOf(near bool) time.Duration {
	if near {
		return nearProbe
	}
	return firstProbe
}

// unsure returns the silence after which the target is probed; near tells that another target of the failure domain was lost since.
func (d *guard) unsure(heard time.Duration, near bool) time.Duration {
	switch {
	case near:
		return max(silenceShared, d.sender.Pace(d.flight.service).Probe()/2)
	case heard > 0 || d.copied:
		return d.sender.Pace(d.flight.service).Probe()
	default:
		return firstProbe
	}
}
