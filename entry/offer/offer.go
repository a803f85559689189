package offer

import (
	"context"
	"fmt"
	"io"

	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/event"
	"bramleywharf.example/entry/link"
	"bramleywharf.example/entry/picker"
	"bramleywharf.example/entry/send"
	"github.com/pkg/errors"
)

// Offer is one send of a streamed request to a target.
type Offer struct {
	steps  chan Step     // holds at most one step, since each is asked for
	asked  chan struct{} // receives a value for each step after the first; closed by Close
	done   chan struct{} // closed when the goroutine has ended
	cancel context.CancelFunc
}

// Start sends a request to the picked target; fresh asks for a connection that was not used before. The offer must be
// closed.
func Start(ctx context.Context, s *send.Sender, pick *picker.Pick, message send.Send, forward chain.Forward, fresh bool) *Offer {
	caller := ctx
	ctx, cancel := context.WithCancel(ctx)
	trial := s.NewTrial(pick.Target, message.Call.Route.Name)
	o := &Offer{steps: make(chan Step, 1), asked: make(chan struct{}, 1), done: make(chan struct{}), cancel: cancel}
	go func() {
		defer close(o.done)
		first := open(ctx, s, pick, message, forward, fresh)
		switch step := first.(type) {
		case Answered:
			trial.Responded(step.Head.Status)
		case Broken:
			recordBroken(trial, caller, ctx)
		}
		o.steps <- first
		if accepted, ok := first.(Accepted); ok && !o.read(accepted.reply, trial) {
			recordBroken(trial, caller, ctx)
		}
	}()
	return o
}

// Steps returns the channel that receives the first step, and one more for each call of Ask.
func (o *Offer) Steps() <-chan Step {
	return o.steps
}

// Ask asks for the next step once the previous one was received and is no longer needed.
func (o *Offer) Ask() {
	o.asked <- struct{}{}
}

// Close closes the connection unless the response has ended. It returns a step that was not received, or nil.
func (o *Offer) Close() Step {
	o.cancel()
	close(o.asked)
	<-o.done
	select {
	case step := <-o.steps:
		return step
	default:
		return nil
	}
}

// recordBroken records a response that is broken, unless the caller has left. If this instance has ended the attempt, the
// wait for the answer counts.
func recordBroken(trial *send.Trial, caller, attempt context.Context) {
	switch {
	case caller.Err() != nil && HasTimeLeft(caller):
	case attempt.Err() != nil:
		trial.GivenUp()
	default:
		trial.Broken(caller)
	}
}

// read reports events as they are asked for. It returns false if the response is broken.
func (o *Offer) read(reply *link.Reply, trial *send.Trial) bool {
	defer reply.Close()
	reader := event.NewReader(reply)
	for range o.asked {
		e, err := reader.Next()
		switch {
		case err == io.EOF:
			o.steps <- End{}
			return true
		case err != nil:
			o.steps <- Broken{Err: err}
			return false
		}
		trial.Answered()
		o.steps <- Event{e}
	}
	return true
}

// open sends the request and waits for the head of the response.
func open(ctx context.Context, s *send.Sender, pick *picker.Pick, message send.Send, forward chain.Forward, fresh bool) Step {
	s.Counts.Sends.Inc()
	sent := s.Stamp()
	reply, err := s.Send(ctx, pick.Target, s.Outgoing(message, forward, fresh))
	if link.IsNotSent(err) {
		s.Counts.Unsent.Inc()
		return NotRun{Cause: err.Error()}
	}
	if err != nil {
		return Broken{Err: err}
	}
	switch v := s.Dialect.Judge(reply.Status(), reply.Header()).(type) {
	case send.NotRun:
		_, _ = reply.Whole() // The body is not needed; reading it lets the connection be reused.
		isMisdirected := v.Misdirected && s.Misdirected(ctx, pick, v.Holder)
		return NotRun{Received: true, Misdirected: isMisdirected, Unmet: v.Misdirected && !isMisdirected, Cause: fmt.Sprintf("status %d", reply.Status())}
	case send.Unsigned:
		reply.Close()
		return Broken{Err: errors.Errorf("response with status %d has no signature", reply.Status())}
	}
	s.Answered(pick, sent)
	head := chain.Head{Status: reply.Status(), Header: s.Dialect.Response(reply.Header())}
	if reply.Status() == 200 {
		return Accepted{Head: head, reply: reply}
	}
	body, err := reply.Whole()
	if err != nil {
		return Broken{Err: err}
	}
	return Answered{Head: head, Body: body}
}
