package relay

import (
	"context"
	"testing"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/token"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
	"github.com/VictoriaMetrics/metrics"
	"github.com/frankban/quicktest"
)

// script is an engine that sends the events of a function for each start.
type script struct {
	engine.Client
	start func(r engine.Request, emit func(engine.Event)) error
}

// Start runs the script.
func (s *script) Start(_ context.Context, _ string, r engine.Request, emit func(engine.Event)) error {
	return s.start(r, emit)
}

// Attach knows no generation.
func (s *script) Attach(context.Context, string, string, int, func(engine.Event)) error {
	return engine.ErrForgotten
}

// Cancel does nothing.
func (s *script) Cancel(context.Context, string, string) error { return nil }

// Probe knows no generation.
func (s *script) Probe(context.Context, string, string) error { return engine.ErrForgotten }

// single always picks one target.
type single struct{}

func (single) Find(string) (route.Candidate, bool) { return route.Candidate{Name: "t"}, true }
func (single) Hold(string) func()                  { return func() {} }
func (single) Pick(flow.Spec, map[string]bool) (route.Candidate, bool) {
	return route.Candidate{Name: "t"}, true
}
func (single) Suspect(string) {}

// memory is a journal that remembers nothing.
type memory struct{}

func (memory) Open(flow.Spec, int, []string) Entry { return memory{} }
func (memory) Abandon(string, string)              {}
func (memory) Close()                              {}
func (memory) Keeper() string                      { return "k" }
func (memory) Note(Progress)                       {}
func (memory) Taken() <-chan struct{}              { return nil }

// counter counts tokens.
type counter struct {
	tokens int
	wrong  int
}

func (c *counter) Heartbeat() error { return nil }
func (c *counter) Token(_ string, t flow.Token) error {
	if t.Offset != c.tokens {
		c.wrong++
	}
	c.tokens++
	return nil
}

// newRelay returns a relay over a script.
func newRelay(tb testing.TB, start func(engine.Request, func(engine.Event)) error) *Relay {
	sealer, err := token.NewSealer([]byte("fleet"))
	if err != nil {
		tb.Fatal(err)
	}
	return New(&script{start: start}, single{}, memory{}, sealer, metrics.NewSet())
}

// emitAll sends all tokens of a generation and its end.
func emitAll(r engine.Request, emit func(engine.Event)) error {
	for offset := len(r.Forced); offset < r.Spec.MaxTokens; offset++ {
		emit(engine.Token{Token: flow.Token{Offset: offset, Text: "word "}})
	}
	emit(engine.Ended{Reason: engine.ReasonLength})
	return nil
}

// job returns a generation of some tokens.
func job(tokens int) Job {
	return Job{Spec: flow.Spec{ID: "r", Organisation: "o", Model: "m", Version: "1", Prompt: "p", MaxTokens: tokens}, Policy: flow.Latency{}, Prompt: true}
}

// TestMillionTokens checks that the longest answer allowed comes whole.
func TestMillionTokens(t *testing.T) {
	const tokens = 1_000_000
	c := quicktest.New(t)
	sink := &counter{}
	answer := newRelay(t, emitAll).Run(t.Context(), job(tokens), sink)
	c.Assert(answer, quicktest.Equals, chain.Answer(chain.Streamed{Reason: engine.ReasonLength, Tokens: tokens}))
	c.Assert(sink.tokens, quicktest.Equals, tokens)
	c.Assert(sink.wrong, quicktest.Equals, 0)
}

// TestFaultyEngines checks what becomes of answers whose engines break the protocol.
func TestFaultyEngines(t *testing.T) {
	send := func(emit func(engine.Event), offsets ...int) {
		for _, offset := range offsets {
			emit(engine.Token{Token: flow.Token{Offset: offset, Text: "word "}})
		}
	}
	cases := map[string]struct {
		first  func(r engine.Request, emit func(engine.Event)) error // first is the first start; later ones are sound.
		always bool                                                  // always tells whether later starts do the same.
		whole  bool
	}{
		"sound":           {first: emitAll, whole: true},
		"repeats":         {first: func(_ engine.Request, emit func(engine.Event)) error { send(emit, 0, 1, 1, 2); return nil }, whole: true},
		"skips":           {first: func(_ engine.Request, emit func(engine.Event)) error { send(emit, 0, 2); return nil }, whole: true},
		"begins-too-late": {first: func(_ engine.Request, emit func(engine.Event)) error { send(emit, 3); return nil }, whole: true},
		"cancelled": {first: func(_ engine.Request, emit func(engine.Event)) error {
			send(emit, 0)
			emit(engine.Ended{Reason: "cancelled"})
			return nil
		}, whole: true},
		"refuses": {first: func(engine.Request, func(engine.Event)) error { return engine.ErrRefused }, whole: true},
		"poisoned-each-time": {first: func(r engine.Request, emit func(engine.Event)) error {
			send(emit, len(r.Forced))
			return engine.ErrForgotten
		}, always: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			starts := 0
			relay := newRelay(t, func(r engine.Request, emit func(engine.Event)) error {
				starts++
				if starts == 1 || test.always {
					return test.first(r, emit)
				}
				return emitAll(r, emit)
			})
			sink := &counter{}
			answer := relay.Run(t.Context(), job(10), sink)
			c.Assert(sink.wrong, quicktest.Equals, 0)
			if test.whole {
				c.Assert(answer, quicktest.Equals, chain.Answer(chain.Streamed{Reason: engine.ReasonLength, Tokens: 10}))
				return
			}
			refused, ok := answer.(chain.Refused)
			c.Assert(ok, quicktest.IsTrue)
			c.Assert(refused.Refusal.Kind, quicktest.Equals, deny.KindLost)
			c.Assert(refused.Refusal.Executed, quicktest.Equals, deny.ExecutedUnknown)
			c.Assert(starts <= flow.MaxDeaths+2, quicktest.IsTrue, quicktest.Commentf("%d starts", starts))
		})
	}
}

// BenchmarkRelayToken measures one token from the engine's event to the caller's sink, the sealed id included.
func BenchmarkRelayToken(b *testing.B) {
	b.ReportAllocs()
	newRelay(b, emitAll).Run(context.Background(), job(b.N), &counter{})
}
