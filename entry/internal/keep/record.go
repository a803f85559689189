package keep

import (
	"sync"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/internal/relay"
)

// record is what this instance knows of one of its generations.
type record struct {
	owner *Keep
	taken chan struct{}

	mu       sync.Mutex
	request  string
	spec     flow.Spec
	progress relay.Progress
	base     int // base is the offset of the first of tokens.
	tokens   []string
	copied   int // copied counts the tokens that the keeper has.
	keeper   string
	attempt  string // attempt is the attempt that the keeper knows of.
	told     bool   // told tells whether the keeper knows of the generation.
	whole    bool   // whole tells whether the keeper has the prompt.
	fresh    bool   // fresh tells whether there is news for the keeper.
	isTaken  bool
	left     []attempt
	leftAt   time.Time
}

// attempt names one run at an engine.
type attempt struct {
	target string
	id     string
}

var _ relay.Entry = (*record)(nil)

// newRecord returns the record of a generation of which the tokens from an offset on are known.
func newRecord(k *Keep, spec flow.Spec, base int, texts []string) *record {
	return &record{
		owner:   k,
		taken:   make(chan struct{}),
		request: spec.ID,
		spec:    spec,
		base:    base,
		tokens:  texts[:len(texts):len(texts)],
		keeper:  k.choose(spec.ID),
	}
}

// Abandon stops an attempt after a while unless the generation is taken by then.
func (r *record) Abandon(target, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = append(r.left, attempt{target: target, id: id})
	r.leftAt = time.Now()
}

// Close forgets the generation here and at its keeper.
func (r *record) Close() {
	r.owner.records.CompareAndDelete(r.request, r)
	r.mu.Lock()
	keeper, told := r.keeper, r.told
	r.mu.Unlock()
	if told {
		r.owner.forget(finished{request: r.request, keeper: keeper})
	}
}

// Keeper returns the peer that holds the copy of the generation.
func (r *record) Keeper() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper
}

// Note records a token; one that does not follow the last begins the text anew.
func (r *record) Note(p relay.Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Token.Offset != r.base+len(r.tokens) {
		r.base, r.tokens = p.Token.Offset, nil
		r.told, r.whole, r.copied = false, false, 0
	}
	r.progress = p
	r.tokens = append(r.tokens, p.Token.Text)
	r.fresh = true
}

// Taken returns a channel that closes when another owner goes on with the generation.
func (r *record) Taken() <-chan struct{} {
	return r.taken
}

// log returns all that is known of the generation.
func (r *record) log() wire.Log {
	l := r.stub()
	l.Prompt = r.spec.Prompt
	l.Offset = r.base
	l.Tokens = r.tokens[:len(r.tokens):len(r.tokens)]
	return l
}

// news returns what the keeper lacks and how many tokens it will have, or false when there is nothing to say.
func (r *record) news(costly int) (wire.Log, int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fresh || r.keeper == "" {
		return wire.Log{}, 0, false
	}
	if r.base+len(r.tokens) < costly || r.spec.Prompt == "" {
		return r.stub(), 0, !r.told
	}
	if !r.whole {
		return r.log(), len(r.tokens), true
	}
	l := wire.Log{Request: r.request}
	if r.attempt != r.progress.AttemptID {
		l = r.stub()
	}
	l.Offset = r.base + r.copied
	l.Tokens = r.tokens[r.copied:len(r.tokens):len(r.tokens)]
	return l, len(r.tokens), true
}

// sent notes what the keeper has of an attempt, or that it has to be told all again.
func (r *record) sent(l wire.Log, copied int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		r.told, r.whole, r.copied = false, false, 0
		return
	}
	r.told = true
	if l.AttemptID != "" {
		r.attempt = l.AttemptID
	}
	if copied > 0 {
		r.whole, r.copied = true, copied
		r.fresh = copied < len(r.tokens)
	}
}

// stub returns what names the generation, without its text.
func (r *record) stub() wire.Log {
	return wire.Log{
		Request:      r.request,
		Organisation: r.spec.Organisation,
		Model:        r.spec.Model,
		Adapter:      r.spec.Adapter,
		Version:      r.spec.Version,
		Seed:         r.spec.Seed,
		MaxTokens:    r.spec.MaxTokens,
		Priority:     r.spec.Priority,
		Target:       r.progress.Target,
		Attempt:      r.progress.Attempt,
		AttemptID:    r.progress.AttemptID,
	}
}

// take gives the generation to another owner and returns all that is known of it.
func (r *record) take() wire.Log {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isTaken {
		r.isTaken = true
		r.leftAt = time.Now()
		close(r.taken)
	}
	return r.log()
}
