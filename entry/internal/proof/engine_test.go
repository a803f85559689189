package proof

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/entry/internal/engine"
)

const (
	tokenGap     = 20 * time.Millisecond
	prefillDelay = 10 * time.Millisecond
)

// fakeEngine is a model engine whose tokens are a function of the request and the text before them.
type fakeEngine struct {
	w    *world
	name string

	mu          sync.Mutex
	generations map[string]*fakeGeneration
	salt        string
	leaving     bool
	started     time.Time // started is when the last generation began.
	models      []string
	fence       uint64
	ignores     bool // ignores tells whether old fencing numbers are taken.
	slow        int
	refusing    bool
	silenced    int // silenced counts how often all open connections went silent.
	decoded     int
	prefilled   int
	changed     chan struct{}
}

// fakeGeneration is one run.
type fakeGeneration struct {
	forced  int
	tokens  []string
	ended   string
	stopped bool
}

func newFakeEngine(w *world, name string) *fakeEngine {
	return &fakeEngine{w: w, name: name, generations: make(map[string]*fakeGeneration), slow: 1, changed: make(chan struct{})}
}

// tokenText returns the token at an offset after a text; engines that drift have a salt each.
func tokenText(s flow.Spec, before uint64, offset int, salt string) (string, uint64) {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%s/%s/%d/%s/%d/%d/%s", s.Model, s.Adapter, s.Version, s.Seed, s.Prompt, before, offset, salt)
	text := fmt.Sprintf("%d-%d ", offset, h.Sum64()%1000)
	return text, extend(before, text)
}

// extend adds a token to the hash of a text.
func extend(before uint64, text string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s", before, text)
	return h.Sum64()
}

// firstStray returns the first token that no engine could have sent after the text before it, or -1.
func (w *world) firstStray(s flow.Spec, tokens []string) int {
	var before uint64
	for offset, got := range tokens {
		possible := false
		for _, e := range w.engines {
			text, _ := tokenText(s, before, offset, e.salt)
			possible = possible || text == got
		}
		if !possible {
			return offset
		}
		before = extend(before, got)
	}
	return -1
}

// forget loses all generations, as a death does.
func (e *fakeEngine) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.generations {
		g.stopped = true
	}
	e.generations = make(map[string]*fakeGeneration)
	e.wake()
}

// busy returns the number of generations that still run.
func (e *fakeEngine) busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, g := range e.generations {
		if g.ended == "" && !g.stopped {
			n++
		}
	}
	return n
}

// silence makes every open connection silent for good.
func (e *fakeEngine) silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silenced++
	e.wake()
}

// with changes the engine's behaviour.
func (e *fakeEngine) with(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// wake tells readers that something changed; the lock is held.
func (e *fakeEngine) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// run produces the tokens of a generation.
func (e *fakeEngine) run(g *fakeGeneration, r engine.Request) {
	var before uint64
	for _, text := range r.Forced {
		before = extend(before, text)
	}
	time.Sleep(prefillDelay)
	for offset := len(r.Forced); offset < r.Spec.MaxTokens; offset++ {
		e.mu.Lock()
		slow := e.slow
		e.mu.Unlock()
		time.Sleep(tokenGap * time.Duration(slow))
		if e.w.pass(e.w.life, e.name, e.name) != nil {
			return
		}
		var text string
		text, before = tokenText(r.Spec, before, offset, e.salt)
		e.mu.Lock()
		if g.stopped {
			e.mu.Unlock()
			return
		}
		g.tokens = append(g.tokens, text)
		e.decoded++
		e.wake()
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g.ended = engine.ReasonLength
	e.wake()
}

// fakeEngines is a node's way to the engines.
type fakeEngines struct {
	w    *world
	self string
}

// to returns an engine by address after a message has reached it.
func (f *fakeEngines) to(ctx context.Context, address string) (*fakeEngine, error) {
	name := strings.TrimSuffix(address, ":1")
	if err := f.w.pass(ctx, f.self, name); err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrSevered, err)
	}
	return f.w.engines[name], nil
}

func (f *fakeEngines) Attach(ctx context.Context, address, id string, from int, emit func(engine.Event)) error {
	e, err := f.to(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	g, ok := e.generations[id]
	e.mu.Unlock()
	switch {
	case !ok:
		return engine.ErrForgotten
	case from < g.forced:
		return engine.ErrRange
	}
	return f.stream(ctx, e, g, from, emit)
}

func (f *fakeEngines) CacheEvents(ctx context.Context, address string, _ int) ([]engine.CacheEvent, error) {
	_, err := f.to(ctx, address)
	return nil, err
}

func (f *fakeEngines) Cancel(ctx context.Context, address, id string) error {
	e, err := f.to(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.generations[id]; ok && g.ended == "" {
		g.stopped = true
		g.ended = "cancelled"
		e.wake()
	}
	return nil
}

func (f *fakeEngines) Load(ctx context.Context, address string) (engine.Load, error) {
	e, err := f.to(ctx, address)
	if err != nil {
		return engine.Load{}, err
	}
	e.mu.Lock()
	models, leaving := e.models, e.leaving
	e.mu.Unlock()
	return engine.Load{Running: e.busy(), Slots: 16, Models: models, Leaving: leaving}, nil
}

func (f *fakeEngines) Order(ctx context.Context, address string, o engine.Order) error {
	f.w.fire("order")
	e := f.w.engines[strings.TrimSuffix(address, ":1")]
	f.w.mu.Lock()
	caught := f.w.catchOrder
	if caught {
		f.w.catchOrder = false
		f.w.lateOrder = func() error { return e.obey(o) }
	}
	f.w.mu.Unlock()
	if caught {
		<-ctx.Done()
		return engine.ErrSevered
	}
	if _, err := f.to(ctx, address); err != nil {
		return err
	}
	return e.obey(o)
}

// obey takes an order unless its fencing number is old and the engine checks it.
func (e *fakeEngine) obey(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.ignores {
		return engine.ErrFenced
	}
	e.fence = max(o.Fence, e.fence)
	e.models = o.Models
	return nil
}

func (f *fakeEngines) Probe(ctx context.Context, address, id string) error {
	e, err := f.to(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.generations[id]; !ok {
		return engine.ErrForgotten
	}
	return nil
}

func (f *fakeEngines) Start(ctx context.Context, address string, r engine.Request, emit func(engine.Event)) error {
	e, err := f.to(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	if e.refusing {
		e.mu.Unlock()
		return engine.ErrRefused
	}
	g, ok := e.generations[r.ID]
	if !ok {
		g = &fakeGeneration{forced: len(r.Forced)}
		e.generations[r.ID] = g
		e.started = time.Now()
		e.prefilled += len(r.Forced) + len(strings.Fields(r.Spec.Prompt))
		go e.run(g, r)
	}
	e.mu.Unlock()
	return f.stream(ctx, e, g, len(r.Forced), emit)
}

// stream emits a generation's tokens as long as the connection lives.
func (f *fakeEngines) stream(ctx context.Context, e *fakeEngine, g *fakeGeneration, offset int, emit func(engine.Event)) error {
	e.mu.Lock()
	opened := e.silenced
	e.mu.Unlock()
	for {
		e.mu.Lock()
		var news []string
		if at := offset - g.forced; at < len(g.tokens) {
			news = g.tokens[at:]
		}
		ended, silent, changed := g.ended, e.silenced != opened, e.changed
		e.mu.Unlock()
		if silent {
			<-ctx.Done()
			return engine.ErrSevered
		}
		if err := f.w.pass(ctx, e.name, f.self); err != nil {
			return fmt.Errorf("%w: %w", engine.ErrSevered, err)
		}
		for _, text := range news {
			emit(engine.Token{Token: flow.Token{Offset: offset, Text: text}})
			offset++
		}
		if ended != "" {
			emit(engine.Ended{Reason: ended})
			return nil
		}
		f.w.mu.Lock()
		moved := f.w.changed
		f.w.mu.Unlock()
		select {
		case <-changed:
		case <-moved:
		case <-ctx.Done():
			return engine.ErrSevered
		}
	}
}

// hashOf returns the hash by which a key is declared.
func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
