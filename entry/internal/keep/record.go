package keep

import (
	"sync"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/internal/relay"
)

// generation is the state of a generation that runs on this instance, and of its replication.
type generation struct {
	keep    *Keep
	adopted chan struct{}

	mu              sync.Mutex
	request         string
	spec            flow.Spec
	lastProgress    relay.Progress
	firstOffset     int // firstOffset is the offset of tokens[0] in the answer.
	tokens          []string
	replicated      int // replicated is how many of tokens the keeper has.
	keeper          string
	keeperAttemptID string // keeperAttemptID is the attempt that the keeper knows.
	keeperKnows     bool   // keeperKnows tells whether the keeper has a replica of the generation.
	keeperHasPrompt bool   // keeperHasPrompt tells whether that replica holds the prompt.
	isDirty         bool   // isDirty tells whether the keeper may lack something.
	isAdopted       bool
	abandoned       []attempt
	releasedAt      time.Time // releasedAt is when the generation was last abandoned or first adopted.
}

// attempt identifies one run of a generation on an engine.
type attempt struct {
	target string
	id     string
}

var _ relay.Entry = (*generation)(nil)

// newGeneration returns a generation whose tokens from firstOffset on are known.
func newGeneration(k *Keep, spec flow.Spec, firstOffset int, texts []string) *generation {
	return &generation{
		keep:        k,
		adopted:     make(chan struct{}),
		request:     spec.ID,
		spec:        spec,
		firstOffset: firstOffset,
		tokens:      texts[:len(texts):len(texts)],
		keeper:      k.chooseKeeper(spec.ID),
	}
}

// Abandon marks an attempt to be cancelled after Linger unless the generation is adopted by then.
func (g *generation) Abandon(target, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned = append(g.abandoned, attempt{target: target, id: id})
	g.releasedAt = time.Now()
}

// Close deletes the generation here and its replica at the keeper.
func (g *generation) Close() {
	g.keep.generations.CompareAndDelete(g.request, g)
	g.mu.Lock()
	keeper, keeperKnows := g.keeper, g.keeperKnows
	g.mu.Unlock()
	if keeperKnows {
		g.keep.queueFinished(finishedGeneration{request: g.request, keeper: keeper})
	}
}

// Keeper returns the name of the peer that holds the replica, or an empty name.
func (g *generation) Keeper() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keeper
}

// Note records a token. A token that does not follow the last one replaces all tokens before.
func (g *generation) Note(p relay.Progress) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Token.Offset != g.firstOffset+len(g.tokens) {
		g.firstOffset, g.tokens = p.Token.Offset, nil
		g.keeperKnows, g.keeperHasPrompt, g.replicated = false, false, 0
	}
	g.lastProgress = p
	g.tokens = append(g.tokens, p.Token.Text)
	g.isDirty = true
}

// Taken returns a channel that is closed when the generation is adopted and continues elsewhere.
func (g *generation) Taken() <-chan struct{} {
	return g.adopted
}

// fullLog returns the header, the prompt and all known tokens.
func (g *generation) fullLog() wire.GenerationLog {
	full := g.header()
	full.Prompt = g.spec.Prompt
	full.Offset = g.firstOffset
	full.Tokens = g.tokens[:len(g.tokens):len(g.tokens)]
	return full
}

// nextUpdate returns what the keeper lacks and how many tokens it will then have, or false if it lacks nothing.
func (g *generation) nextUpdate(costly int) (wire.GenerationLog, int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isDirty || g.keeper == "" {
		return wire.GenerationLog{}, 0, false
	}
	if g.firstOffset+len(g.tokens) < costly || g.spec.Prompt == "" {
		return g.header(), 0, !g.keeperKnows
	}
	if !g.keeperHasPrompt {
		return g.fullLog(), len(g.tokens), true
	}
	update := wire.GenerationLog{Request: g.request}
	if g.keeperAttemptID != g.lastProgress.AttemptID {
		update = g.header()
	}
	update.Offset = g.firstOffset + g.replicated
	update.Tokens = g.tokens[g.replicated:len(g.tokens):len(g.tokens)]
	return update, len(g.tokens), true
}

// confirmUpdate notes that the keeper has applied an update and how many tokens it has now. After a failure, everything
// is sent again.
func (g *generation) confirmUpdate(update wire.GenerationLog, replicated int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok {
		g.keeperKnows, g.keeperHasPrompt, g.replicated = false, false, 0
		return
	}
	g.keeperKnows = true
	if update.AttemptID != "" {
		g.keeperAttemptID = update.AttemptID
	}
	if replicated > 0 {
		g.keeperHasPrompt, g.replicated = true, replicated
		g.isDirty = replicated < len(g.tokens)
	}
}

// header returns a log that identifies the generation and its attempt, without prompt and tokens.
func (g *generation) header() wire.GenerationLog {
	return wire.GenerationLog{
		Request:      g.request,
		Organisation: g.spec.Organisation,
		Model:        g.spec.Model,
		Adapter:      g.spec.Adapter,
		Version:      g.spec.Version,
		Seed:         g.spec.Seed,
		MaxTokens:    g.spec.MaxTokens,
		Priority:     g.spec.Priority,
		Target:       g.lastProgress.Target,
		Attempt:      g.lastProgress.Attempt,
		AttemptID:    g.lastProgress.AttemptID,
	}
}

// adopt marks the generation as adopted by another owner and returns its full log.
func (g *generation) adopt() wire.GenerationLog {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isAdopted {
		g.isAdopted = true
		g.releasedAt = time.Now()
		close(g.adopted)
	}
	return g.fullLog()
}
