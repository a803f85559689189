package relay

import (
	"context"
	"testing"

	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/route"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
	"github.com/VictoriaMetrics/metrics"
	"github.com/frankban/quicktest"
)

// scriptedEngine is an engine whose generations are produced by a function.
type scriptedEngine struct {
	engine.Client
	start func(r engine.Request, emit func(engine.Event)) error
}

// Start calls the function.
func (s *scriptedEngine) Start(_ context.Context, _ string, r engine.Request, emit func(engine.Event)) error {
	return s.start(r, emit)
}

// Attach reports every generation as unknown.
func (s *scriptedEngine) Attach(context.Context, string, string, int, func(engine.Event)) error {
	return engine.ErrForgotten
}

// Cancel does nothing.
func (s *scriptedEngine) Cancel(context.Context, string, string) error { return nil }

// Probe reports every generation as unknown.
func (s *scriptedEngine) Probe(context.Context, string, string) error { return engine.ErrForgotten }

// singleTarget is a picker with one target.
type singleTarget struct{}

func (singleTarget) Find(string) (route.Candidate, bool) { return route.Candidate{Name: "t"}, true }
func (singleTarget) Hold(string) func()                  { return func() {} }
func (singleTarget) Pick(flow.Spec, map[string]bool) (route.Candidate, bool) {
	return route.Candidate{Name: "t"}, true
}
func (singleTarget) Suspect(string) {}

// noopJournal is a journal that records nothing.
type noopJournal struct{}

func (noopJournal) Open(flow.Spec, int, []string) Entry { return noopJournal{} }
func (noopJournal) Abandon(string, string)              {}
func (noopJournal) Close()                              {}
func (noopJournal) Keeper() string                      { return "k" }
func (noopJournal) Note(Progress)                       {}
func (noopJournal) Taken() <-chan struct{}              { return nil }

// countingSink counts the tokens it receives.
type countingSink struct {
	tokens     int
	misordered int // misordered counts tokens whose offset was not the next.
}

func (c *countingSink) Heartbeat() error { return nil }
func (c *countingSink) Token(_ string, t flow.Token) error {
	if t.Offset != c.tokens {
		c.misordered++
	}
	c.tokens++
	return nil
}

// newRelay returns a relay to a scripted engine.
func newRelay(tb testing.TB, start func(engine.Request, func(engine.Event)) error) *Relay {
	sealer, err := cursor.NewSealer([]byte("fleet"))
	if err != nil {
		tb.Fatal(err)
	}
	return New(&scriptedEngine{start: start}, singleTarget{}, noopJournal{}, sealer, metrics.NewSet())
}

// emitAll emits the tokens after the forced ones and a normal end.
func emitAll(r engine.Request, emit func(engine.Event)) error {
	for offset := len(r.Forced); offset < r.Spec.MaxTokens; offset++ {
		emit(engine.Token{Token: flow.Token{Offset: offset, Text: "word "}})
	}
	emit(engine.Ended{Reason: engine.ReasonLength})
	return nil
}

// newJob returns a new generation with a token limit.
func newJob(maxTokens int) Job {
	return Job{Spec: flow.Spec{ID: "r", Organisation: "o", Model: "m", Version: "1", Prompt: "p", MaxTokens: maxTokens}, Policy: flow.Latency{}, Prompt: true}
}

// TestMillionTokens checks that the longest allowed answer arrives complete.
func TestMillionTokens(t *testing.T) {
	const tokens = 1_000_000
	c := quicktest.New(t)
	sink := &countingSink{}
	answer := newRelay(t, emitAll).Run(t.Context(), newJob(tokens), sink)
	c.Assert(answer, quicktest.Equals, chain.Answer(chain.Streamed{Reason: engine.ReasonLength, Tokens: tokens}))
	c.Assert(sink.tokens, quicktest.Equals, tokens)
	c.Assert(sink.misordered, quicktest.Equals, 0)
}

// TestFaultyEngines checks that an answer is complete although its first engine breaks the protocol, and that it is
// refused after a bounded number of attempts if every engine does.
func TestFaultyEngines(t *testing.T) {
	emitTokens := func(emit func(engine.Event), offsets ...int) {
		for _, offset := range offsets {
			emit(engine.Token{Token: flow.Token{Offset: offset, Text: "word "}})
		}
	}
	cases := map[string]struct {
		firstStart   func(r engine.Request, emit func(engine.Event)) error // firstStart handles the first start.
		everyStart   bool                                                  // everyStart makes firstStart handle all starts.
		wantComplete bool
	}{
		"no-fault":        {firstStart: emitAll, wantComplete: true},
		"repeats-offset":  {firstStart: func(_ engine.Request, emit func(engine.Event)) error { emitTokens(emit, 0, 1, 1, 2); return nil }, wantComplete: true},
		"skips-offset":    {firstStart: func(_ engine.Request, emit func(engine.Event)) error { emitTokens(emit, 0, 2); return nil }, wantComplete: true},
		"starts-too-late": {firstStart: func(_ engine.Request, emit func(engine.Event)) error { emitTokens(emit, 3); return nil }, wantComplete: true},
		"ends-early": {firstStart: func(_ engine.Request, emit func(engine.Event)) error {
			emitTokens(emit, 0)
			emit(engine.Ended{Reason: "cancelled"})
			return nil
		}, wantComplete: true},
		"refuses-start": {firstStart: func(engine.Request, func(engine.Event)) error { return engine.ErrRefused }, wantComplete: true},
		"fails-after-each-token": {firstStart: func(r engine.Request, emit func(engine.Event)) error {
			emitTokens(emit, len(r.Forced))
			return engine.ErrForgotten
		}, everyStart: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			startCount := 0
			relay := newRelay(t, func(r engine.Request, emit func(engine.Event)) error {
				startCount++
				if startCount == 1 || test.everyStart {
					return test.firstStart(r, emit)
				}
				return emitAll(r, emit)
			})
			sink := &countingSink{}
			answer := relay.Run(t.Context(), newJob(10), sink)
			c.Assert(sink.misordered, quicktest.Equals, 0)
			if test.wantComplete {
				c.Assert(answer, quicktest.Equals, chain.Answer(chain.Streamed{Reason: engine.ReasonLength, Tokens: 10}))
				return
			}
			refused, ok := answer.(chain.Refused)
			c.Assert(ok, quicktest.IsTrue)
			c.Assert(refused.Refusal.Kind, quicktest.Equals, deny.KindLost)
			c.Assert(refused.Refusal.Executed, quicktest.Equals, deny.ExecutedUnknown)
			c.Assert(startCount <= flow.MaxLostEngines+2, quicktest.IsTrue, quicktest.Commentf("%d starts", startCount))
		})
	}
}

// BenchmarkRelayToken measures one token from the engine's event to the caller's sink, including sealing its id.
func BenchmarkRelayToken(b *testing.B) {
	b.ReportAllocs()
	newRelay(b, emitAll).Run(context.Background(), newJob(b.N), &countingSink{})
}
