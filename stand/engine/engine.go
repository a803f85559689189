package engine

import (
	"context"
	"sync"
	"time"

	"bramleywharf.example/core/wait"
	"github.com/pkg/errors"
)

// ErrLeaving is returned by an engine that is draining and takes no new generations.
var ErrLeaving = errors.New("engine is leaving")

const (
	maxCachedPrefixes = 256
	endedRetention    = 2 * time.Minute // endedRetention is how long an ended generation can still be read.
	prefixWords       = 16              // prefixWords is the length of a cached prompt prefix, in words.
)

// Settings configures an engine.
type Settings struct {
	Name          string
	Gap           time.Duration // Gap is the time between tokens.
	Prefill       time.Duration // Prefill is the time to read one token of the prompt or the forced prefix.
	Slots         int           // Slots bounds the generations that run at once.
	IgnoreFencing bool          // IgnoreFencing accepts orders with an old fencing number.
}

// Work is the engine's load report, the body of GET /v1/load.
type Work struct {
	Prefilled int      `json:"prefilled-tokens"` // Prefilled counts the tokens read, without those of cached prompts.
	Decoded   int      `json:"decoded-tokens"`
	Running   int      `json:"running"`
	Waiting   int      `json:"waiting"`
	Slots     int      `json:"slots"`
	Leaving   bool     `json:"leaving"`
	Fence     uint64   `json:"fence"`  // Fence is the highest fencing number seen.
	Models    []string `json:"models"` // Models are those of the last order.
}

// generation is one answer, running or ended.
type generation struct {
	request Request
	cancel  context.CancelFunc

	mu        sync.Mutex
	tokens    []string      // tokens are those generated after the forced prefix.
	endReason string        // endReason is "length" or "cancelled", or empty while the generation runs.
	changed   chan struct{} // changed is closed and replaced at each change.
}

// batcher runs generations in a bounded number of slots and caches prompt prefixes.
type batcher struct {
	settings Settings

	mu             sync.Mutex
	generations    map[string]*generation // generations are by id.
	waiters        []*waiter
	running        int
	load           Work // load holds token counts and the last order; report fills in the rest.
	cachedPrefixes map[string]bool
	cacheOrder     []string // cacheOrder holds the cached prefixes, the oldest first.
	events         []CacheEvent
	draining       bool
}

// waiter is a generation's place in the queue for a slot.
type waiter struct {
	priority int
	granted  chan struct{} // granted is closed when the generation gets a slot.
}

// CacheEvent says that a prompt prefix was added to the cache or evicted.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   string `json:"prefix"`
	Added    bool   `json:"added"`
}

func newBatcher(s Settings) *batcher {
	return &batcher{settings: s, generations: make(map[string]*generation), cachedPrefixes: make(map[string]bool)}
}

// start begins a generation, or returns the existing one with the same id.
func (b *batcher) start(r Request) (*generation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g, ok := b.generations[r.ID]; ok {
		return g, nil
	}
	if b.draining {
		return nil, ErrLeaving
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{request: r, cancel: cancel, changed: make(chan struct{})}
	b.generations[r.ID] = g
	go b.run(ctx, g)
	return g, nil
}

// find returns a running or recently ended generation by id.
func (b *batcher) find(id string) (*generation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok := b.generations[id]
	return g, ok
}

// run generates the tokens once it has a slot; the ended generation is removed after endedRetention.
func (b *batcher) run(ctx context.Context, g *generation) {
	defer time.AfterFunc(endedRetention, func() { b.remove(g.request.ID) })
	if !b.acquireSlot(ctx, g.request.Priority) {
		g.end("cancelled")
		return
	}
	defer b.releaseSlot()
	if !wait.Sleep(ctx, time.Duration(b.startPrefill(g.request))*b.settings.Prefill) {
		g.end("cancelled")
		return
	}
	var prefixHash uint64
	for _, token := range g.request.Forced {
		prefixHash = Extend(prefixHash, token)
	}
	for offset := len(g.request.Forced); offset < g.request.MaxTokens; offset++ {
		if !wait.Sleep(ctx, b.settings.Gap) {
			g.end("cancelled")
			return
		}
		var token string
		token, prefixHash = Text(g.request, prefixHash, offset)
		b.countDecoded()
		g.addToken(token)
	}
	g.end("length")
}

func (b *batcher) countDecoded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.Decoded++
}

func (b *batcher) remove(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.generations, id)
}

// acquireSlot waits for a slot, which the highest priority gets first, and returns false if the context ends before.
func (b *batcher) acquireSlot(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.running < b.settings.Slots {
		b.running++
		b.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, granted: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		return b.cancelWait(w)
	}
}

// cancelWait leaves the queue, or passes on the slot that was granted meanwhile; it always returns false.
func (b *batcher) cancelWait(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, queued := range b.waiters {
		if queued == w {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			return false
		}
	}
	b.grantNext()
	return false
}

func (b *batcher) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grantNext()
}

// grantNext passes a freed slot to the waiter with the highest priority, if any; the caller holds b.mu.
func (b *batcher) grantNext() {
	if len(b.waiters) == 0 {
		b.running--
		return
	}
	best := 0
	for i, w := range b.waiters {
		if w.priority > b.waiters[best].priority {
			best = i
		}
	}
	chosen := b.waiters[best]
	b.waiters = append(b.waiters[:best], b.waiters[best+1:]...)
	close(chosen.granted)
}

// startPrefill returns the number of tokens to read and caches the prompt's prefix.
// If the prefix is cached already, the whole prompt is taken as read.
func (b *batcher) startPrefill(r Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := PromptTokens(r.Prompt) + len(r.Forced)
	prefix := Prefix(r.Prompt)
	if b.cachedPrefixes[prefix] {
		tokens -= PromptTokens(r.Prompt)
	} else {
		b.cachePrefix(prefix)
	}
	b.load.Prefilled += tokens
	return tokens
}

// cachePrefix adds a prefix to the cache and evicts the oldest if the cache is full.
func (b *batcher) cachePrefix(prefix string) {
	if len(b.cacheOrder) == maxCachedPrefixes {
		b.recordCacheEvent(b.cacheOrder[0], false)
		delete(b.cachedPrefixes, b.cacheOrder[0])
		b.cacheOrder = b.cacheOrder[1:]
	}
	b.cachedPrefixes[prefix] = true
	b.cacheOrder = append(b.cacheOrder, prefix)
	b.recordCacheEvent(prefix, true)
}

func (b *batcher) recordCacheEvent(prefix string, added bool) {
	b.events = append(b.events, CacheEvent{Sequence: len(b.events) + 1, Prefix: prefix, Added: added})
}

// report returns the current load.
func (b *batcher) report() Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.load
	w.Running = b.running
	w.Waiting = len(b.waiters)
	w.Slots = b.settings.Slots
	w.Leaving = b.draining
	return w
}

// addToken appends a token and wakes the readers.
func (g *generation) addToken(token string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, token)
	close(g.changed)
	g.changed = make(chan struct{})
}

// end records why the generation ended and wakes the readers.
func (g *generation) end(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endReason = reason
	close(g.changed)
	g.changed = make(chan struct{})
}

// tokensFrom returns the tokens from an offset of the answer on, the end reason or empty, and a channel that is closed
// at the next change.
func (g *generation) tokensFrom(offset int) ([]string, string, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	index := offset - len(g.request.Forced)
	if index < 0 || index > len(g.tokens) {
		return nil, g.endReason, g.changed
	}
	return g.tokens[index:len(g.tokens):len(g.tokens)], g.endReason, g.changed
}
