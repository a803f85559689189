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

// queueRetryAfter is the time after which callers should try again when all engines are full.
const queueRetryAfter = 5 * time.Second

// retryAfter is the time after which callers should try again when another instance or a short wait may help.
const retryAfter = time.Second

// Source provides the configuration of generations and services.
type Source interface {
	// Current returns the current snapshot, or an error while it is unknown or stale.
	Current() (*conf.Snapshot, error)
}

// Identify authenticates the organisation that makes a call by its key.
type Identify struct {
	source Source
}

var _ chain.Filter = (*Identify)(nil)

// NewIdentify returns a filter that looks up keys in the configuration of a source.
func NewIdentify(source Source) *Identify {
	return &Identify{source: source}
}

// Handle passes on calls of known organisations, with the snapshot and the limit that apply to them.
func (i *Identify) Handle(ctx context.Context, c chain.Call, next chain.Handler) chain.Answer {
	snapshot, err := i.source.Current()
	if err != nil {
		return chain.Refuse(deny.New(deny.KindUnavailable, "%v; use another instance", err).WithRetryAfter(retryAfter))
	}
	sum := sha256.Sum256([]byte(c.Credential))
	name, ok := snapshot.OrganisationByKeyHash(hex.EncodeToString(sum[:]))
	if !ok || c.Credential == "" {
		return chain.Refuse(deny.New(deny.KindUnauthorised, "the key is missing or unknown"))
	}
	limit, _, ok := snapshot.LimitOf(name)
	if !ok {
		return chain.Refuse(deny.New(deny.KindForbidden, "organisation %s is on no member's sheet", name))
	}
	return next(ctx, c.WithOrganisation(name).WithConfig(snapshot, limit))
}
