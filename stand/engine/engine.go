package engine

import (
	"context"
	"sync"
	"time"

	"bramleywharf.example/core/wait"
	"github.com/pkg/errors"
)

// ErrLeaving is returned by an engine that takes no new work.
var ErrLeaving = errors.New("engine is leaving")

const (
	maxCached   = 256             // maxCached bounds the prompt prefixes in memory.
	keepEnded   = 2 * time.Minute // keepEnded is how long an ended generation can still be read.
	prefixWords = 16              // prefixWords is the length of a cacheable prompt prefix, in words.
)

// Settings configures an engine.
type Settings struct {
	Name          string
	Gap           time.Duration // Gap is the time between tokens.
	Prefill       time.Duration // Prefill is the time to read one token.
	Slots         int
	IgnoreFencing bool
}

// Work counts what an engine has done.
type Work struct {
	Prefilled int      `json:"prefilled-tokens"` // Prefilled counts tokens read, without those found in the cache.
	Decoded   int      `json:"decoded-tokens"`
	Running   int      `json:"running"`
	Waiting   int      `json:"waiting"`
	Slots     int      `json:"slots"`
	Leaving   bool     `json:"leaving"`
	Fence     uint64   `json:"fence"`
	Models    []string `json:"models"`
}

// generation is one answer in the making.
type generation struct {
	request Request
	cancel  context.CancelFunc

	mu      sync.Mutex
	tokens  []string
	ended   string // ended is the reason of the end, or empty.
	changed chan struct{}
}

// batch holds the engine's generations and slots.
type batch struct {
	settings Settings

	mu          sync.Mutex
	generations map[string]*generation
	waiting     []*ticket
	running     int
	work        Work
	cache       map[string]bool
	cached      []string
	events      []CacheEvent
	leaving     bool
}

// ticket is a generation's place in the queue for a slot.
type ticket struct {
	priority int
	granted  chan struct{}
}

// CacheEvent tells that a prompt prefix entered or left the cache.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   string `json:"prefix"`
	Added    bool   `json:"added"`
}

// newBatch returns an empty batch.
func newBatch(s Settings) *batch {
	return &batch{settings: s, generations: make(map[string]*generation), cache: make(map[string]bool)}
}

// start begins a generation, or returns the running one of the same id.
func (b *batch) start(r Request) (*generation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g, ok := b.generations[r.ID]; ok {
		return g, nil
	}
	if b.leaving {
		return nil, ErrLeaving
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{request: r, cancel: cancel, changed: make(chan struct{})}
	b.generations[r.ID] = g
	go b.run(ctx, g)
	return g, nil
}

// find returns a generation by id.
func (b *batch) find(id string) (*generation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok := b.generations[id]
	return g, ok
}

// run produces the tokens of a generation in a slot of the batch.
func (b *batch) run(ctx context.Context, g *generation) {
	defer time.AfterFunc(keepEnded, func() { b.drop(g.request.ID) })
	if !b.enter(ctx, g.request.Priority) {
		g.end("cancelled")
		return
	}
	defer b.leave()
	if !wait.For(ctx, time.Duration(b.prefill(g.request))*b.settings.Prefill) {
		g.end("cancelled")
		return
	}
	var before uint64
	for _, text := range g.request.Forced {
		before = Extend(before, text)
	}
	for offset := len(g.request.Forced); offset < g.request.MaxTokens; offset++ {
		if !wait.For(ctx, b.settings.Gap) {
			g.end("cancelled")
			return
		}
		var text string
		text, before = Text(g.request, before, offset)
		b.decoded()
		g.add(text)
	}
	g.end("length")
}

// decoded counts one token.
func (b *batch) decoded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work.Decoded++
}

// drop forgets an ended generation.
func (b *batch) drop(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.generations, id)
}

// enter waits for a slot, the highest priority first.
func (b *batch) enter(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.running < b.settings.Slots {
		b.running++
		b.mu.Unlock()
		return true
	}
	t := &ticket{priority: priority, granted: make(chan struct{})}
	b.waiting = append(b.waiting, t)
	b.mu.Unlock()
	select {
	case <-t.granted:
		return true
	case <-ctx.Done():
		return b.withdraw(t)
	}
}

// withdraw gives up a place in the queue, or the slot that was granted meanwhile.
func (b *batch) withdraw(t *ticket) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, w := range b.waiting {
		if w == t {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return false
		}
	}
	b.next()
	return false
}

// leave frees a slot.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next()
}

// next hands a free slot to the waiting generation of the highest priority.
func (b *batch) next() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	best := 0
	for i, w := range b.waiting {
		if w.priority > b.waiting[best].priority {
			best = i
		}
	}
	t := b.waiting[best]
	b.waiting = append(b.waiting[:best], b.waiting[best+1:]...)
	close(t.granted)
}

// prefill returns how many tokens must be read and brings the prompt's prefix into the cache.
func (b *batch) prefill(r Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	read := PromptTokens(r.Prompt) + len(r.Forced)
	prefix := Prefix(r.Prompt)
	if b.cache[prefix] {
		read -= PromptTokens(r.Prompt)
	} else {
		b.remember(prefix)
	}
	b.work.Prefilled += read
	return read
}

// remember caches a prefix in place of the oldest.
func (b *batch) remember(prefix string) {
	if len(b.cached) == maxCached {
		b.note(b.cached[0], false)
		delete(b.cache, b.cached[0])
		b.cached = b.cached[1:]
	}
	b.cache[prefix] = true
	b.cached = append(b.cached, prefix)
	b.note(prefix, true)
}

// note records a cache event.
func (b *batch) note(prefix string, added bool) {
	b.events = append(b.events, CacheEvent{Sequence: len(b.events) + 1, Prefix: prefix, Added: added})
}

// report returns the counts of work.
func (b *batch) report() Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.work
	w.Running = b.running
	w.Waiting = len(b.waiting)
	w.Slots = b.settings.Slots
	w.Leaving = b.leaving
	return w
}

// add appends a token and wakes the readers.
func (g *generation) add(text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, text)
	close(g.changed)
	g.changed = make(chan struct{})
}

// end closes a generation and wakes the readers.
func (g *generation) end(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = reason
	close(g.changed)
	g.changed = make(chan struct{})
}

// after returns the tokens from an offset on, the reason of the end or empty, and the channel that closes on news.
func (g *generation) after(offset int) ([]string, string, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := offset - len(g.request.Forced)
	if at < 0 || at > len(g.tokens) {
		return nil, g.ended, g.changed
	}
	return g.tokens[at:len(g.tokens):len(g.tokens)], g.ended, g.changed
}
