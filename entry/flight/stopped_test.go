package flight

import (
	"context"
	"testing"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
	"github.com/frankban/quicktest"
)

// stopPeriod is the grace period.
const stopPeriod = 8 * time.Second

// queueTime is a time after which a stream without an event is known to wait in its target's queue.
const queueTime = 3500 * time.Millisecond

// TestStopTellsWhatStreamsDid guards against streams that a stop ends and of which nobody can tell whether their target
// was still at work.
func TestStopTellsWhatStreamsDid(t *testing.T) {
	never := make(chan struct{})
	cases := map[string]struct {
		target     behaviour
		wait       time.Duration
		atMostOnce bool
		lost       bool // lost makes the target unreachable before the stop.
		work       chain.Work
		events     int
		executed   deny.Executed // executed is what the refusal says, or empty for a stream whose caller has the head.
	}{
		"no-head":                        {target: behaviour{begin: never}, work: chain.Running{Target: "a"}, executed: deny.ExecutedUnknown},
		"no-head-at-most-once":           {target: behaviour{begin: never}, atMostOnce: true, work: chain.Running{Target: "a"}, executed: deny.ExecutedUnknown},
		"head-without-event":             {target: behaviour{crash: never}, work: chain.Running{Target: "a"}, executed: deny.ExecutedUnknown},
		"between-events":                 {target: behaviour{haltAt: 3, resume: never}, work: chain.Running{Target: "a"}, events: 3},
		"between-events-at-most-once":    {target: behaviour{haltAt: 3, resume: never}, atMostOnce: true, work: chain.Running{Target: "a"}, events: 3},
		"in-a-queue":                     {target: behaviour{begin: never, queued: true}, wait: queueTime, work: chain.Queued{Target: "a"}, executed: deny.ExecutedUnknown},
		"in-a-queue-between-events":      {target: behaviour{haltAt: 3, resume: never, queued: true}, wait: queueTime, work: chain.Queued{Target: "a"}, events: 3},
		"between-targets":                {target: behaviour{haltAt: 3, resume: never}, lost: true, work: chain.Between{}, events: 3},
		"between-targets-without-a-head": {target: behaviour{begin: never}, lost: true, work: chain.Between{}, executed: deny.ExecutedUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "a")
			w.atMostOnce = test.atMostOnce
			w.behave("a", test.target)
			ctx, stop := context.WithCancelCause(w.c.Context())
			_, answers := w.start(ctx, &caller{})
			time.Sleep(200*time.Millisecond + test.wait)
			if test.lost {
				w.servers["a"].Listener.Close()
				w.servers["a"].CloseClientConnections()
				time.Sleep(50 * time.Millisecond)
			}
			stop(chain.ErrStopping)
			answer := <-answers
			stopped, ok := answer.(chain.Stopped)
			w.c.Assert(ok, quicktest.IsTrue, quicktest.Commentf("%#v", answer))
			w.c.Check(stopped.Work, quicktest.Equals, test.work)
			w.c.Check(stopped.Events, quicktest.Equals, test.events)
			switch a := stopped.Answer.(type) {
			case chain.Refused:
				w.c.Check(a.Refusal.Executed, quicktest.Equals, test.executed)
			case chain.Severed:
				w.c.Check(test.executed, quicktest.Equals, deny.Executed(""))
			default:
				w.c.Errorf("answer is %#v", a)
			}
		})
	}
}

// TestStreamsOfLeavingInstance guards against streams that leave a sound target for one at which the stop would end them, or
// that wait for the end of the grace period although it is known that they cannot end.
func TestStreamsOfLeavingInstance(t *testing.T) {
	const length, silence = 10 * time.Second, 5 * time.Second
	const (
		goesOn   = "goes on"            // goesOn is a stream that is whole at its first target.
		moves    = "moves"              // moves is one that is whole at its second target.
		answered = "answered meanwhile" // answered is one that is refused before its target goes on.
	)
	cases := map[string]struct {
		first   behaviour
		unknown bool // unknown tells that no request of the route has finished.
		alone   bool
		once    bool // once tells that the stream may not be resumed.
		lost    bool // lost makes the first target unreachable after a while.
		want    string
		work    chain.Work
	}{
		"silent-between-events":                   {first: behaviour{haltAt: 3}, want: goesOn},
		"silent-between-events-of-unknown-length": {first: behaviour{haltAt: 3}, unknown: true, want: moves},
		"queued-between-events":                   {first: behaviour{haltAt: 3, queued: true}, want: goesOn},
		"queued-without-head":                     {first: behaviour{begin: make(chan struct{}), queued: true}, want: answered, work: chain.Queued{}},
		"queued-without-head-at-most-once":        {first: behaviour{begin: make(chan struct{}), queued: true}, once: true, want: goesOn},
		"queued-without-head-alone":               {first: behaviour{begin: make(chan struct{}), queued: true}, alone: true, want: goesOn},
		"silent-without-head":                     {first: behaviour{begin: make(chan struct{})}, want: goesOn},
		"lost-between-events":                     {first: behaviour{haltAt: 3}, lost: true, want: moves},
		"lost-without-head":                       {first: behaviour{begin: make(chan struct{})}, lost: true, want: answered, work: chain.Between{}},
		"lost-without-head-alone":                 {first: behaviour{begin: make(chan struct{})}, lost: true, alone: true, want: moves},
		"lost-without-head-of-unknown-length":     {first: behaviour{begin: make(chan struct{})}, lost: true, unknown: true, want: moves},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "a", "b")
			w.alone, w.atMostOnce = test.alone, test.once
			if !test.unknown {
				for range 10 {
					w.sender.Stop.Learn("", length)
				}
			}
			resume := make(chan struct{})
			first := test.first
			if first.begin != nil {
				first.begin = resume
			} else {
				first.resume = resume
			}
			for _, target := range w.targets {
				w.behave(target.Name, first)
			}
			caller := &caller{}
			runner, answers := w.start(w.c.Context(), caller)
			w.behave(w.others(runner)[0], behaviour{})
			w.sender.Stop.Begin(time.Now())
			time.AfterFunc(silence, func() { close(resume) })
			if test.lost {
				time.Sleep(200 * time.Millisecond)
				w.servers[runner].Listener.Close()
				w.servers[runner].CloseClientConnections()
			}
			answer := <-answers
			switch test.want {
			case goesOn:
				w.assertWhole(answer, caller)
				w.c.Assert(w.seen(), quicktest.HasLen, 1)
			case moves:
				w.assertWhole(answer, caller)
				w.c.Assert(w.seen(), quicktest.HasLen, 2)
			case answered:
				stopped, ok := answer.(chain.Stopped)
				w.c.Assert(ok, quicktest.IsTrue, quicktest.Commentf("%#v", answer))
				if _, isQueued := test.work.(chain.Queued); isQueued {
					test.work = chain.Queued{Target: runner}
				}
				w.c.Check(stopped.Work, quicktest.Equals, test.work)
				w.c.Check(stopped.Answer.(chain.Refused).Refusal.Executed, quicktest.Equals, deny.ExecutedUnknown)
				w.c.Assert(w.seen(), quicktest.HasLen, 1)
				select {
				case <-resume:
					w.c.Error("the answer waited for the target")
				default:
				}
			}
		})
	}
}
