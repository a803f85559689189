package relay

import (
	"context"
	"sync"
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

// manner is the sealed set of ways in which a target runs generations.
type manner interface {
	isManner()
}

// halts falls silent before the token at an offset and goes on after a while.
type halts struct {
	offset  int
	silence time.Duration
	breaks  bool // breaks closes the first stream when the silence begins.
	frozen  bool // frozen leaves probes without an answer during the silence.
	dies    int  // dies, unless 0, is the offset at which the generation is lost.
}

// queues sends nothing and answers probes.
type queues struct{}

// hangs sends nothing and leaves probes without an answer.
type hangs struct{}

// fails ends every stream with an error after a while and forgets the generation.
type fails struct {
	after time.Duration
	err   error
}

func (halts) isManner()  {}
func (queues) isManner() {}
func (hangs) isManner()  {}
func (fails) isManner()  {}

// target is one of the engines of rivalEngines.
type target struct {
	manner   manner
	starts   int
	forced   int // forced is the number of tokens that the last start was given.
	cancels  int
	running  map[string]bool // running holds the ids of attempts that were neither cancelled nor ended.
	goesOnAt time.Time       // goesOnAt is the end of the silence of a target that halts.
}

// rivalEngines is a client of several targets, and a picker that prefers them in the order of their names.
type rivalEngines struct {
	engine.Client
	mu      sync.Mutex
	targets map[string]*target
}

func newRivalEngines(manners map[string]manner) *rivalEngines {
	r := &rivalEngines{targets: make(map[string]*target)}
	for name, m := range manners {
		r.targets[name] = &target{manner: m, running: make(map[string]bool)}
	}
	return r
}

func (r *rivalEngines) Find(name string) (route.Candidate, bool) {
	return route.Candidate{Name: name, Address: name}, true
}

func (r *rivalEngines) Hold(string) func() { return func() {} }

func (r *rivalEngines) Pick(_ flow.Spec, avoided map[string]bool) (route.Candidate, bool) {
	best := ""
	for name := range r.targets {
		if !avoided[name] && (best == "" || name < best) {
			best = name
		}
	}
	return route.Candidate{Name: best, Address: best}, best != ""
}

func (r *rivalEngines) Suspect(string) {}

// Start runs a generation in the manner of the target.
func (r *rivalEngines) Start(ctx context.Context, address string, q engine.Request, emit func(engine.Event)) error {
	r.mu.Lock()
	t := r.targets[address]
	t.starts++
	t.forced = len(q.Forced)
	t.running[q.ID] = true
	first := t.starts == 1
	r.mu.Unlock()
	return r.stream(ctx, t, q.ID, len(q.Forced), first, emit)
}

// Attach streams a running generation.
func (r *rivalEngines) Attach(ctx context.Context, address, id string, from int, emit func(engine.Event)) error {
	t := r.targets[address]
	if !r.isRunning(t, id) {
		return engine.ErrForgotten
	}
	return r.stream(ctx, t, id, from, false, emit)
}

// Cancel ends a generation.
func (r *rivalEngines) Cancel(_ context.Context, address, id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets[address].cancels++
	delete(r.targets[address].running, id)
	return nil
}

// Probe reports whether the generation runs, if the target answers.
func (r *rivalEngines) Probe(ctx context.Context, address, id string) error {
	t := r.targets[address]
	answersAt := time.Time{}
	switch m := t.manner.(type) {
	case hangs:
		<-ctx.Done()
		return ctx.Err()
	case halts:
		if m.frozen {
			r.mu.Lock()
			answersAt = t.goesOnAt
			r.mu.Unlock()
		}
	}
	select {
	case <-time.After(time.Until(answersAt)):
	case <-ctx.Done():
		return ctx.Err()
	}
	if !r.isRunning(t, id) {
		return engine.ErrForgotten
	}
	return nil
}

func (r *rivalEngines) isRunning(t *target, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.running[id]
}

// count returns a number of a target that its lock guards.
func (r *rivalEngines) count(name string, of func(t *target) int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return of(r.targets[name])
}

// stream emits the tokens from an offset on in the manner of the target.
func (r *rivalEngines) stream(ctx context.Context, t *target, id string, from int, first bool, emit func(engine.Event)) error {
	switch m := t.manner.(type) {
	case halts:
		return r.halt(ctx, t, id, m, from, first, emit)
	case fails:
		select {
		case <-time.After(m.after):
		case <-ctx.Done():
			return ctx.Err()
		}
		r.mu.Lock()
		delete(t.running, id)
		r.mu.Unlock()
		return m.err
	default:
		<-ctx.Done()
		return ctx.Err()
	}
}

// halt emits the tokens from an offset on and is silent once.
func (r *rivalEngines) halt(ctx context.Context, t *target, id string, m halts, from int, first bool, emit func(engine.Event)) error {
	for offset := from; offset < haltedTokens; offset++ {
		if offset == m.offset {
			r.mu.Lock()
			if t.goesOnAt.IsZero() {
				t.goesOnAt = time.Now().Add(m.silence)
			}
			goesOnAt := t.goesOnAt
			r.mu.Unlock()
			if first && m.breaks {
				return engine.ErrSevered
			}
			select {
			case <-time.After(time.Until(goesOnAt)):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if m.dies > 0 && offset == m.dies {
			r.mu.Lock()
			delete(t.running, id)
			r.mu.Unlock()
			return engine.ErrSevered
		}
		emit(engine.Token{Token: flow.Token{Offset: offset, Text: "word "}})
		time.Sleep(10 * time.Millisecond)
	}
	emit(engine.Ended{Reason: engine.ReasonLength})
	return nil
}

// TestSilentEngineIsKeptUntilRivalSends checks that an engine silent for a second goes on if its rival sent no token.
func TestSilentEngineIsKeptUntilRivalSends(t *testing.T) {
	policies := map[string]flow.Policy{"latency": flow.Latency{}, "thrift": flow.Thrift{}}
	moments := map[string]struct {
		engine halts
		fails  time.Duration // fails is how long after its start a rival fails.
	}{
		"before-first-token":        {engine: halts{silence: 2700 * time.Millisecond, breaks: true}, fails: 2400 * time.Millisecond},
		"before-first-token-frozen": {engine: halts{silence: 3300 * time.Millisecond, frozen: true}, fails: 700 * time.Millisecond},
		"between-tokens":            {engine: halts{offset: 3, silence: 1400 * time.Millisecond}, fails: 500 * time.Millisecond},
		"between-tokens-broken":     {engine: halts{offset: 3, silence: 1400 * time.Millisecond, breaks: true}, fails: 500 * time.Millisecond},
		"between-tokens-frozen":     {engine: halts{offset: 3, silence: 1400 * time.Millisecond, frozen: true}, fails: 500 * time.Millisecond},
	}
	rivals := map[string]func(time.Duration) manner{
		"queues":          func(time.Duration) manner { return queues{} },
		"hangs":           func(time.Duration) manner { return hangs{} },
		"refuses-late":    func(after time.Duration) manner { return fails{after: after, err: engine.ErrRefused} },
		"breaks-off-late": func(after time.Duration) manner { return fails{after: after, err: engine.ErrSevered} },
	}
	for policyName, policy := range policies {
		for momentName, moment := range moments {
			for rivalName, rival := range rivals {
				t.Run(policyName+"-"+momentName+"/"+rivalName, func(t *testing.T) {
					t.Parallel()
					c := quicktest.New(t)
					sealer, err := cursor.NewSealer([]byte("fleet"))
					c.Assert(err, quicktest.IsNil)
					engines := newRivalEngines(map[string]manner{"first": moment.engine, "second": rival(moment.fails)})
					job := newJob(haltedTokens)
					job.Policy = policy
					sink := &countingSink{}
					ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
					defer cancel()
					answer := New(engines, engines, noopJournal{}, sealer, metrics.NewSet()).Run(ctx, job, sink)
					c.Check(answer, quicktest.Equals, chain.Answer(chain.Streamed{Reason: engine.ReasonLength, Tokens: haltedTokens}))
					c.Check(sink.tokens, quicktest.Equals, haltedTokens)
					c.Check(sink.misordered, quicktest.Equals, 0)
					c.Check(engines.count("first", func(t *target) int { return t.starts }), quicktest.Equals, 1)
					c.Check(engines.count("first", func(t *target) int { return t.cancels }), quicktest.Equals, 0)
					for range 100 {
						if engines.count("second", func(t *target) int { return len(t.running) }) == 0 {
							return
						}
						time.Sleep(10 * time.Millisecond)
					}
					t.Error("the rival still runs")
				})
			}
		}
	}
}
