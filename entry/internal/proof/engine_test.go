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

// fakeEngine is a model engine whose tokens depend only on the request, the text before them and its salt, so that a
// test can check a stream that several engines produced.
type fakeEngine struct {
	w    *world
	name string

	mu              sync.Mutex
	generations     map[string]*fakeGeneration // By id of the attempt.
	salt            string                     // Makes the tokens differ from those of engines with another salt.
	leaving         bool
	lastStartTime   time.Time // When the last generation was started.
	models          []string
	highestFence    uint64 // Highest fencing token seen.
	ignoresFencing  bool   // Accept orders with an old fencing token.
	slowdown        int    // Factor on the time between tokens.
	refusesWork     bool   // Refuse new generations.
	silenceCount    int    // How often all open connections were made silent.
	decodedTokens   int
	prefilledTokens int
	changed         chan struct{} // Closed and replaced at each change.
}

// fakeGeneration is one attempt at a generation by an engine.
type fakeGeneration struct {
	forcedCount int      // Number of tokens that the attempt was given as its beginning.
	tokens      []string // Tokens after the forced ones.
	endReason   string   // Empty until the generation ends.
	stopped     bool     // Cancelled, or lost because the engine died.
}

func newFakeEngine(w *world, name string) *fakeEngine {
	return &fakeEngine{w: w, name: name, generations: make(map[string]*fakeGeneration), slowdown: 1, changed: make(chan struct{})}
}

// nextToken returns the token at an offset and the hash of the text up to it; prefixHash is that of the text before.
func nextToken(spec flow.Spec, prefixHash uint64, offset int, salt string) (string, uint64) {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%s/%s/%d/%s/%d/%d/%s", spec.Model, spec.Adapter, spec.Version, spec.Seed, spec.Prompt, prefixHash, offset, salt)
	text := fmt.Sprintf("%d-%d ", offset, h.Sum64()%1000)
	return text, extendHash(prefixHash, text)
}

// extendHash returns the hash of a text that is extended by a token.
func extendHash(prefixHash uint64, text string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s", prefixHash, text)
	return h.Sum64()
}

// firstUnexpected returns the offset of the first token that no engine produces after the text before it, or -1.
func (w *world) firstUnexpected(spec flow.Spec, tokens []string) int {
	var prefixHash uint64
	for offset, got := range tokens {
		possible := false
		for _, e := range w.engines {
			text, _ := nextToken(spec, prefixHash, offset, e.salt)
			possible = possible || text == got
		}
		if !possible {
			return offset
		}
		prefixHash = extendHash(prefixHash, got)
	}
	return -1
}

// dropGenerations forgets all generations, as the death of the engine does.
func (e *fakeEngine) dropGenerations() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.generations {
		g.stopped = true
	}
	e.generations = make(map[string]*fakeGeneration)
	e.notifyChange()
}

// activeCount returns the number of running generations.
func (e *fakeEngine) activeCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, g := range e.generations {
		if g.endReason == "" && !g.stopped {
			count++
		}
	}
	return count
}

// silence makes every open connection send nothing more without closing; new connections work.
func (e *fakeEngine) silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silenceCount++
	e.notifyChange()
}

// update changes the engine's fields under its lock.
func (e *fakeEngine) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// notifyChange wakes the readers of all streams; e.mu must be held.
func (e *fakeEngine) notifyChange() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// generate produces the tokens of a generation until it ends, is stopped or the engine dies.
func (e *fakeEngine) generate(g *fakeGeneration, r engine.Request) {
	var prefixHash uint64
	for _, text := range r.Forced {
		prefixHash = extendHash(prefixHash, text)
	}
	time.Sleep(prefillDelay)
	for offset := len(r.Forced); offset < r.Spec.MaxTokens; offset++ {
		e.mu.Lock()
		slowdown := e.slowdown
		e.mu.Unlock()
		time.Sleep(tokenGap * time.Duration(slowdown))
		// A message to itself waits while the engine is frozen and fails once it is dead.
		if e.w.transmit(e.w.runCtx, e.name, e.name) != nil {
			return
		}
		var text string
		text, prefixHash = nextToken(r.Spec, prefixHash, offset, e.salt)
		e.mu.Lock()
		if g.stopped {
			e.mu.Unlock()
			return
		}
		g.tokens = append(g.tokens, text)
		e.decodedTokens++
		e.notifyChange()
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g.endReason = engine.ReasonLength
	e.notifyChange()
}

// fakeEngines is the engine.Client of one node.
type fakeEngines struct {
	w        *world
	nodeName string
}

// reach sends a message to the engine at an address and returns the engine.
func (f *fakeEngines) reach(ctx context.Context, address string) (*fakeEngine, error) {
	name := strings.TrimSuffix(address, ":1")
	if err := f.w.transmit(ctx, f.nodeName, name); err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrSevered, err)
	}
	return f.w.engines[name], nil
}

func (f *fakeEngines) Attach(ctx context.Context, address, id string, from int, emit func(engine.Event)) error {
	e, err := f.reach(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	g, ok := e.generations[id]
	e.mu.Unlock()
	switch {
	case !ok:
		return engine.ErrForgotten
	case from < g.forcedCount:
		return engine.ErrRange
	}
	return f.stream(ctx, e, g, from, emit)
}

func (f *fakeEngines) CacheEvents(ctx context.Context, address string, _ int) ([]engine.CacheEvent, error) {
	_, err := f.reach(ctx, address)
	return nil, err
}

func (f *fakeEngines) Cancel(ctx context.Context, address, id string) error {
	e, err := f.reach(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.generations[id]; ok && g.endReason == "" {
		g.stopped = true
		g.endReason = "cancelled"
		e.notifyChange()
	}
	return nil
}

func (f *fakeEngines) Load(ctx context.Context, address string) (engine.Load, error) {
	e, err := f.reach(ctx, address)
	if err != nil {
		return engine.Load{}, err
	}
	e.mu.Lock()
	models, leaving := e.models, e.leaving
	e.mu.Unlock()
	return engine.Load{Running: e.activeCount(), Slots: 16, Models: models, Leaving: leaving}, nil
}

func (f *fakeEngines) Order(ctx context.Context, address string, o engine.Order) error {
	f.w.runHooks("order")
	e := f.w.engines[strings.TrimSuffix(address, ":1")]
	f.w.mu.Lock()
	held := f.w.holdNextOrder
	if held {
		f.w.holdNextOrder = false
		f.w.deliverHeldOrder = func() error { return e.applyOrder(o) }
	}
	f.w.mu.Unlock()
	if held {
		<-ctx.Done()
		return engine.ErrSevered
	}
	if _, err := f.reach(ctx, address); err != nil {
		return err
	}
	return e.applyOrder(o)
}

// applyOrder loads the models of an order, unless its fencing token is old and the engine checks it.
func (e *fakeEngine) applyOrder(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.highestFence && !e.ignoresFencing {
		return engine.ErrFenced
	}
	e.highestFence = max(o.Fence, e.highestFence)
	e.models = o.Models
	return nil
}

func (f *fakeEngines) Probe(ctx context.Context, address, id string) error {
	e, err := f.reach(ctx, address)
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
	e, err := f.reach(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	if e.refusesWork {
		e.mu.Unlock()
		return engine.ErrRefused
	}
	g, ok := e.generations[r.ID]
	if !ok {
		g = &fakeGeneration{forcedCount: len(r.Forced)}
		e.generations[r.ID] = g
		e.lastStartTime = time.Now()
		e.prefilledTokens += len(r.Forced) + len(strings.Fields(r.Spec.Prompt))
		go e.generate(g, r)
	}
	e.mu.Unlock()
	return f.stream(ctx, e, g, len(r.Forced), emit)
}

// stream emits a generation's tokens from an offset until the generation or the connection ends.
func (f *fakeEngines) stream(ctx context.Context, e *fakeEngine, g *fakeGeneration, offset int, emit func(engine.Event)) error {
	e.mu.Lock()
	silenceCountAtOpen := e.silenceCount
	e.mu.Unlock()
	for {
		e.mu.Lock()
		var pending []string
		if index := offset - g.forcedCount; index < len(g.tokens) {
			pending = g.tokens[index:]
		}
		endReason, silent, changed := g.endReason, e.silenceCount != silenceCountAtOpen, e.changed
		e.mu.Unlock()
		if silent {
			<-ctx.Done()
			return engine.ErrSevered
		}
		if err := f.w.transmit(ctx, e.name, f.nodeName); err != nil {
			return fmt.Errorf("%w: %w", engine.ErrSevered, err)
		}
		for _, text := range pending {
			emit(engine.Token{Token: flow.Token{Offset: offset, Text: text}})
			offset++
		}
		if endReason != "" {
			emit(engine.Ended{Reason: endReason})
			return nil
		}
		f.w.mu.Lock()
		worldChanged := f.w.changed
		f.w.mu.Unlock()
		select {
		case <-changed:
		case <-worldChanged:
		case <-ctx.Done():
			return engine.ErrSevered
		}
	}
}

// keyHash returns the hash by which an organisation declares an API key.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
