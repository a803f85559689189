package filter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/deny"
	"bramleywharf.example/entry/chain"
)

// queueRetry is what callers are told when engines are full.
const queueRetry = 5 * time.Second

// retryAfter is what callers are told when another instance or a moment may help.
const retryAfter = time.Second

// Source gives the configuration in force.
type Source interface {
	// Current returns the snapshot in force, or an error while it cannot be known.
	Current() (*conf.Snapshot, error)
}

// Identify finds the organisation that makes a call by its key.
type Identify struct {
	source Source
}

var _ chain.Filter = (*Identify)(nil)

// NewIdentify returns a filter that knows the organisations of a source.
func NewIdentify(source Source) *Identify {
	return &Identify{source: source}
}

// Handle passes calls of known organisations on with the snapshot they are judged by.
func (i *Identify) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	snapshot, err := i.source.Current()
	if err != nil {
		return chain.Refuse(deny.New(deny.KindUnavailable, "%v; use another instance", err).WithRetryAfter(retryAfter))
	}
	sum := sha256.Sum256([]byte(c.Credential))
	name, ok := snapshot.Caller(hex.EncodeToString(sum[:]))
	if !ok || c.Credential == "" {
		return chain.Refuse(deny.New(deny.KindUnauthorised, "the key is missing or unknown"))
	}
	limit, _, ok := snapshot.Limit(name)
	if !ok {
		return chain.Refuse(deny.New(deny.KindForbidden, "organisation %s is on no member's sheet", name))
	}
	return next(ctx, c.WithOrganisation(name).WithConfig(snapshot, limit))
}
