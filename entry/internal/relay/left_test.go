package relay

import (
	"context"
	"testing"
	"time"

	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
	"github.com/VictoriaMetrics/metrics"
	"github.com/frankban/quicktest"
)

// TestHungEngineIsLeft checks that a generation leaves an engine that does not go on in time, on few engines.
func TestHungEngineIsLeft(t *testing.T) {
	whole := chain.Answer(chain.Streamed{Reason: engine.ReasonLength, Tokens: haltedTokens})
	works := halts{offset: -1}
	cases := map[string]struct {
		targets     map[string]manner
		within      time.Duration // within is when the caller leaves.
		want        chain.Answer
		wantCancels map[string]int
	}{
		"hangs": {
			targets: map[string]manner{"first": halts{offset: 3, silence: time.Hour}, "second": works},
			within:  2 * time.Second, want: whole, wantCancels: map[string]int{"first": 1},
		},
		"frozen": {
			targets: map[string]manner{"first": halts{offset: 3, silence: time.Hour, frozen: true}, "second": works},
			within:  2 * time.Second, want: whole, wantCancels: map[string]int{"first": 1},
		},
		"frozen-before-first-token": {
			targets: map[string]manner{"first": hangs{}, "second": works},
			within:  3 * time.Second, want: whole, wantCancels: map[string]int{"first": 1},
		},
		"rival-queues-first": {
			targets: map[string]manner{"first": halts{offset: 3, silence: time.Hour}, "second": halts{offset: 3, silence: time.Second}},
			within:  3 * time.Second, want: whole, wantCancels: map[string]int{"first": 1, "second": 0},
		},
		"rival-hangs": {
			targets: map[string]manner{"first": halts{offset: 3, silence: time.Hour}, "second": hangs{}, "third": works},
			within:  4 * time.Second, want: whole, wantCancels: map[string]int{"first": 1, "second": 1},
		},
		"rival-refuses": {
			targets: map[string]manner{"first": halts{offset: 3, silence: time.Hour}, "second": fails{err: engine.ErrRefused}, "third": works},
			within:  2 * time.Second, want: whole, wantCancels: map[string]int{"first": 1},
		},
		"rival-fails": {
			targets: map[string]manner{"first": halts{offset: 3, silence: time.Hour}, "second": fails{err: engine.ErrForgotten}, "third": works},
			within:  2 * time.Second, want: whole, wantCancels: map[string]int{"first": 1},
		},
		"dies-while-rival-queues": {
			targets: map[string]manner{"first": halts{offset: 3, silence: 1200 * time.Millisecond, dies: 3}, "second": halts{offset: 3, silence: 2 * time.Second}},
			within:  4 * time.Second, want: whole, wantCancels: map[string]int{"first": 1, "second": 0},
		},
		"rival-queues-for-good": {
			targets: map[string]manner{"first": halts{offset: 3, silence: time.Hour}, "second": queues{}},
			within:  12 * time.Second, want: chain.Left{}, wantCancels: map[string]int{"first": 1, "second": 0},
		},
		"caller-leaves": {
			targets: map[string]manner{"first": halts{offset: 3, silence: time.Hour}, "second": queues{}},
			within:  1500 * time.Millisecond, want: chain.Left{}, wantCancels: map[string]int{"first": 0, "second": 1},
		},
	}
	policies := map[string]flow.Policy{"latency": flow.Latency{}, "thrift": flow.Thrift{}}
	for policyName, policy := range policies {
		for name, test := range cases {
			t.Run(policyName+"/"+name, func(t *testing.T) {
				t.Parallel()
				c := quicktest.New(t)
				job := newJob(haltedTokens)
				job.Policy = policy
				engines, sink := newRivalEngines(test.targets), &countingSink{}
				answer := runFor(c, test.within, engines, job, sink)
				time.Sleep(50 * time.Millisecond) // cancelling is asynchronous
				c.Check(answer, quicktest.Equals, test.want)
				c.Check(sink.misordered, quicktest.Equals, 0)
				for name, want := range test.wantCancels {
					c.Check(engines.count(name, func(t *target) int { return t.cancels }), quicktest.Equals, want, quicktest.Commentf("cancels of %s", name))
				}
				for name := range test.targets {
					c.Check(engines.count(name, func(t *target) int { return t.starts }) <= 1, quicktest.IsTrue, quicktest.Commentf("starts of %s", name))
				}
			})
		}
	}
}

// TestSilentEngineIsKeptWithoutPrompt checks that a generation that cannot move is not refused for a second's silence.
func TestSilentEngineIsKeptWithoutPrompt(t *testing.T) {
	cases := map[string]struct {
		silence   time.Duration
		wantWhole bool
	}{
		"goes-on": {silence: 1400 * time.Millisecond, wantWhole: true},
		"hangs":   {silence: time.Hour},
	}
	policies := map[string]flow.Policy{"latency": flow.Latency{}, "thrift": flow.Thrift{}}
	for policyName, policy := range policies {
		for name, test := range cases {
			t.Run(policyName+"/"+name, func(t *testing.T) {
				t.Parallel()
				c := quicktest.New(t)
				job := newJob(haltedTokens)
				job.Policy, job.Prompt = policy, false
				engines := newRivalEngines(map[string]manner{"first": halts{offset: 3, silence: test.silence}, "second": queues{}})
				answer := runFor(c, 3*time.Second, engines, job, &countingSink{})
				_, refused := answer.(chain.Refused)
				c.Assert(refused, quicktest.Equals, !test.wantWhole, quicktest.Commentf("%v", answer))
			})
		}
	}
}

// TestResumedEngineWinsRace checks that a continuation is not given tokens from the middle of the answer as its beginning.
func TestResumedEngineWinsRace(t *testing.T) {
	c := quicktest.New(t)
	var hash uint64
	for range 3 {
		hash = flow.NextHash(hash, "word ")
	}
	job := newJob(haltedTokens)
	job.Cursor = cursor.Cursor{RequestID: "r", Target: "first", RunID: "x", Attempt: 2, Offset: 3, Hash: hash}
	engines := newRivalEngines(map[string]manner{"first": halts{offset: 5, silence: 600 * time.Millisecond, dies: 7}, "second": halts{silence: 1500 * time.Millisecond}})
	engines.targets["first"].running[attemptID("r", 2, "x")] = true
	sink := &countingSink{tokens: 3}
	answer := runFor(c, 4*time.Second, engines, job, sink)
	c.Assert(answer, quicktest.Equals, chain.Answer(chain.Streamed{Reason: engine.ReasonLength, Tokens: haltedTokens}))
	c.Assert(sink.misordered, quicktest.Equals, 0)
	c.Assert(engines.count("second", func(t *target) int { return t.starts }), quicktest.Equals, 2)
	c.Assert(engines.count("second", func(t *target) int { return t.forced }), quicktest.Equals, 0)
}

// takenJournal is a journal of a generation that another run takes over.
type takenJournal struct {
	noopJournal
	taken chan struct{}
}

func (j takenJournal) Open(flow.Spec, int, []string) Entry { return j }
func (j takenJournal) Taken() <-chan struct{}              { return j.taken }

// TestRivalIsCancelledWhenRunIsTakenOver checks that no rival runs on when another run takes a generation over.
func TestRivalIsCancelledWhenRunIsTakenOver(t *testing.T) {
	c := quicktest.New(t)
	sealer, err := cursor.NewSealer([]byte("fleet"))
	c.Assert(err, quicktest.IsNil)
	engines := newRivalEngines(map[string]manner{"first": halts{offset: 3, silence: time.Hour}, "second": queues{}})
	journal := takenJournal{taken: make(chan struct{})}
	time.AfterFunc(time.Second, func() { close(journal.taken) })
	answer := New(engines, engines, journal, sealer, metrics.NewSet()).Run(t.Context(), newJob(haltedTokens), &countingSink{})
	c.Assert(answer, quicktest.Equals, chain.Answer(chain.Left{}))
	time.Sleep(50 * time.Millisecond) // cancelling is asynchronous
	c.Assert(engines.count("first", func(t *target) int { return t.cancels }), quicktest.Equals, 0)
	c.Assert(engines.count("second", func(t *target) int { return t.cancels }), quicktest.Equals, 1)
}

// runFor runs a job for a caller that leaves after a while.
func runFor(c *quicktest.C, within time.Duration, engines *rivalEngines, j Job, sink chain.Sink) chain.Answer {
	sealer, err := cursor.NewSealer([]byte("fleet"))
	c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithTimeout(c.Context(), within)
	defer cancel()
	return New(engines, engines, noopJournal{}, sealer, metrics.NewSet()).Run(ctx, j, sink)
}
