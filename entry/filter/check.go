package filter

import (
	"context"
	"slices"

	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
)

// Bounds of one generation.
const (
	MaxPrompt = 4 << 20   // MaxPrompt bounds the text of a prompt, in bytes.
	MaxTokens = 1_000_000 // MaxTokens bounds the number of tokens that a call may ask for.
)

// Check validates a call against the current configuration.
type Check struct{}

var _ chain.Filter = Check{}

// Handle passes on valid calls with the configured defaults filled in, and refuses others.
func (Check) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	switch r := c.Request.(type) {
	case chain.Generate:
		checked, refusal := checkGenerate(c, r)
		if refusal != nil {
			return chain.Refuse(*refusal)
		}
		return next(ctx, c.WithRequest(checked))
	case chain.Invoke:
		if _, ok := c.Config.Service(r.Service); !ok {
			return chain.Refuse(deny.New(deny.KindUnknown, "service %q is not configured", r.Service))
		}
		return next(ctx, c)
	default:
		return next(ctx, c)
	}
}

// checkGenerate validates a generation and fills in the model's default version.
func checkGenerate(c chain.Call, r chain.Generate) (chain.Generate, *deny.Refusal) {
	model, ok := c.Config.Model(r.Model)
	if r.Version == "" {
		r.Version = model.Default
	}
	var refusal deny.Refusal
	switch {
	case !ok:
		refusal = deny.New(deny.KindUnknown, "model %q is not configured", r.Model)
	case !slices.Contains(model.Versions, r.Version):
		refusal = deny.New(deny.KindUnknown, "model %s has no version %q", r.Model, r.Version)
	case r.Adapter != "" && !slices.Contains(model.Adapters, r.Adapter):
		refusal = deny.New(deny.KindUnknown, "model %s has no adapter %q", r.Model, r.Adapter)
	case !c.Limit.Allows(r.Model, r.Adapter, r.Version):
		refusal = deny.New(deny.KindForbidden, "the sheet does not let %s use %s/%s@%s",
			c.Organisation, r.Model, r.Adapter, r.Version)
	case r.Prompt == "":
		refusal = deny.New(deny.KindMalformed, "prompt is empty")
	case len(r.Prompt) > MaxPrompt:
		refusal = deny.New(deny.KindTooLarge, "prompt has %d bytes, over %d", len(r.Prompt), MaxPrompt)
	case r.MaxTokens < 1 || r.MaxTokens > MaxTokens:
		refusal = deny.New(deny.KindMalformed, "max_tokens %d is not from 1 to %d", r.MaxTokens, MaxTokens)
	default:
		return r, nil
	}
	return r, &refusal
}
