package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/route"
	"bramleywharf.example/entry/chain"
	"bramleywharf.example/entry/internal/engine"
	"github.com/VictoriaMetrics/metrics"
	"github.com/frankban/quicktest"
)

// haltingEngine answers probes, but sends nothing after the third token until resumeAt.
type haltingEngine struct {
	engine.Client
	resumeAt time.Time
	starts   atomic.Int32
	cancels  atomic.Int32
}

// Start runs a generation.
func (h *haltingEngine) Start(ctx context.Context, _ string, r engine.Request, emit func(engine.Event)) error {
	h.starts.Add(1)
	return h.stream(ctx, len(r.Forced), r.Spec.MaxTokens, emit)
}

// Attach streams the running generation.
func (h *haltingEngine) Attach(ctx context.Context, _, _ string, from int, emit func(engine.Event)) error {
	return h.stream(ctx, from, haltedTokens, emit)
}

// Cancel counts the call.
func (h *haltingEngine) Cancel(context.Context, string, string) error {
	h.cancels.Add(1)
	return nil
}

// Probe reports that the generation runs.
func (h *haltingEngine) Probe(context.Context, string, string) error { return nil }

// haltedTokens is the number of tokens of a generation.
const haltedTokens = 10

// stream emits the tokens from an offset on.
func (h *haltingEngine) stream(ctx context.Context, from, maxTokens int, emit func(engine.Event)) error {
	for offset := from; offset < maxTokens; offset++ {
		if offset >= 3 {
			select {
			case <-time.After(time.Until(h.resumeAt)):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		emit(engine.Token{Token: flow.Token{Offset: offset, Text: "word "}})
		time.Sleep(10 * time.Millisecond)
	}
	emit(engine.Ended{Reason: engine.ReasonLength})
	return nil
}

// avoidableTarget is a picker with one target that can be avoided.
type avoidableTarget struct{ singleTarget }

func (avoidableTarget) Pick(_ flow.Spec, avoided map[string]bool) (route.Candidate, bool) {
	return route.Candidate{Name: "t"}, !avoided["t"]
}

// TestSilentEngineWithoutAlternativeIsKept checks that a generation on the only engine is not cancelled while the engine
// answers probes.
func TestSilentEngineWithoutAlternativeIsKept(t *testing.T) {
	policies := map[string]flow.Policy{"latency": flow.Latency{}, "thrift": flow.Thrift{}}
	for name, policy := range policies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			sealer, err := cursor.NewSealer([]byte("fleet"))
			c.Assert(err, quicktest.IsNil)
			h := &haltingEngine{resumeAt: time.Now().Add(1500 * time.Millisecond)}
			job := newJob(haltedTokens)
			job.Policy = policy
			answer := New(h, avoidableTarget{}, noopJournal{}, sealer, metrics.NewSet()).Run(t.Context(), job, &countingSink{})
			c.Assert(answer, quicktest.Equals, chain.Answer(chain.Streamed{Reason: engine.ReasonLength, Tokens: haltedTokens}))
			c.Assert(h.starts.Load(), quicktest.Equals, int32(1))
			c.Assert(h.cancels.Load(), quicktest.Equals, int32(0))
		})
	}
}
