package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"bramleywharf.example/core/store"
	"bramleywharf.example/core/token"
	"bramleywharf.example/entry/internal/engine"
	"github.com/pkg/errors"
)

// KindClaim is the kind of the platform's objects that hold claims.
const KindClaim = "claim"

// phase says how far a claimed call has come.
type phase string

// The phases of a claimed call.
const (
	phaseClaimed phase = "claimed" // phaseClaimed may have been sent.
	phaseUnsent  phase = "unsent"  // phaseUnsent was surely not sent and may be claimed again.
	phaseDone    phase = "done"    // phaseDone has its answer.
)

// claim is the record of one key in the platform.
type claim struct {
	Instance    string    `json:"instance"`
	BodyHash    string    `json:"body-hash"`
	Target      string    `json:"target"` // Target is the address that the call is sent to.
	Phase       phase     `json:"phase"`
	At          time.Time `json:"at"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"content-type,omitempty"`
	Body        []byte    `json:"body,omitempty"`
}

// result returns the answer that a finished claim holds.
func (c claim) result() engine.Result {
	return engine.Result{Status: c.Status, ContentType: c.ContentType, Body: c.Body}
}

// withPhase returns a copy in a phase.
func (c claim) withPhase(p phase) claim {
	c.Phase = p
	return c
}

// withResult returns a copy that holds the answer of the call.
func (c claim) withResult(r engine.Result) claim {
	c.Phase = phaseDone
	c.Status = r.Status
	c.ContentType = r.ContentType
	c.Body = r.Body
	return c
}

// withTarget returns a copy that is to be sent to a target.
func (c claim) withTarget(address string) claim {
	c.Target = address
	c.Phase = phaseClaimed
	return c
}

// registry reads and writes claims in the platform.
type registry struct {
	store store.Store
}

// bodyHash returns the hash by which the body of a repeated key is compared.
func bodyHash(c engine.Call) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s\n%s\n", c.Method, c.Path, c.ContentType)
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// claimName returns the name of a key's claim, which holds no character that a path cannot.
func claimName(organisation, service, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// read returns the claim of a name and the object that holds it.
func (r registry) read(ctx context.Context, name string) (claim, store.Object, error) {
	o, err := r.store.Get(ctx, KindClaim, name)
	if err != nil {
		return claim{}, store.Object{}, err
	}
	var c claim
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return claim{}, store.Object{}, fmt.Errorf("decode claim %s: %w", name, err)
	}
	return c, o, nil
}

// write stores a claim in place of an object and returns the object that holds it now.
func (r registry) write(ctx context.Context, o store.Object, c claim) (store.Object, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return o, fmt.Errorf("encode claim: %w", err)
	}
	next := o.WithValue(token.NewID(), raw)
	revision, err := store.Settled{Store: r.store}.Put(ctx, next)
	if err != nil {
		return next, fmt.Errorf("write claim: %w", err)
	}
	next.Revision = revision
	return next, nil
}

// isTaken tells whether a write failed because another holds the claim.
func isTaken(err error) bool {
	return errors.Is(err, store.ErrConflict)
}
