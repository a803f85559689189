package filter

import (
	"context"
	"strings"
	"time"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/core/taint"
	"bramleywharf.example/entry/chain"
)

// blockRetryAfter is the retry delay sent with a refusal for a blocked part; parts stay blocked for minutes.
const blockRetryAfter = time.Minute

// BlockedParts tells which parts of prompts crash targets.
type BlockedParts interface {
	// Blocked reports whether a request with some parts is blocked.
	Blocked(parts []string) (taint.Finding, bool)
}

// Block refuses requests whose prompts have a part that crashes targets.
type Block struct {
	parts BlockedParts
}

var _ chain.Filter = (*Block)(nil)

// NewBlock returns a filter that refuses requests with blocked parts.
func NewBlock(parts BlockedParts) *Block {
	return &Block{parts: parts}
}

// Handle passes on calls that are not blocked.
func (b *Block) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	if forward, ok := c.Request.(chain.Forward); ok {
		if f, ok := b.parts.Blocked(forward.Prompt.Shared()); ok {
			return chain.Refuse(deny.New(
				deny.KindBlocked, "the prompt has part %s; targets crashed at %d requests with it", strings.Join(f.Parts, " and "), f.Requests,
			).WithRetryAfter(blockRetryAfter))
		}
	}
	return next(ctx, c)
}
