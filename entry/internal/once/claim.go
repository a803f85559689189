package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/store"
	"bramleywharf.example/entry/internal/engine"
	"github.com/pkg/errors"
)

// KindClaim is the kind of platform objects that store claims.
const KindClaim = "claim"

// claimPhase is the progress of a claimed call.
type claimPhase string

const (
	phaseClaimed claimPhase = "claimed" // The call may have been sent.
	phaseUnsent  claimPhase = "unsent"  // The call was certainly not sent; the key may be claimed again.
	phaseDone    claimPhase = "done"    // The claim holds the service's answer.
)

// claim is the value of a platform object that reserves one idempotency key for one call.
type claim struct {
	Instance    string     `json:"instance"`
	BodyHash    string     `json:"body-hash"`
	Target      string     `json:"target"` // Target is the address of the service instance that the call is sent to.
	Phase       claimPhase `json:"phase"`
	At          time.Time  `json:"at"`
	Status      int        `json:"status,omitempty"`
	ContentType string     `json:"content-type,omitempty"`
	Body        []byte     `json:"body,omitempty"`
}

// result returns the service's answer; it is valid in phaseDone.
func (c claim) result() engine.Result {
	return engine.Result{Status: c.Status, ContentType: c.ContentType, Body: c.Body}
}

// withPhase returns a copy with the phase replaced.
func (c claim) withPhase(p claimPhase) claim {
	c.Phase = p
	return c
}

// withResult returns a copy in phaseDone that holds the service's answer.
func (c claim) withResult(r engine.Result) claim {
	c.Phase = phaseDone
	c.Status = r.Status
	c.ContentType = r.ContentType
	c.Body = r.Body
	return c
}

// withTarget returns a copy in phaseClaimed whose call is about to be sent to a target.
func (c claim) withTarget(address string) claim {
	c.Target = address
	c.Phase = phaseClaimed
	return c
}

// claimStore reads and writes claims in the platform.
type claimStore struct {
	store store.Store
}

// hashCall hashes a call, so that the reuse of its key for a different call is detected.
func hashCall(call engine.Call) string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s %s\n%s\n", call.Method, call.Path, call.ContentType)
	_, _ = hash.Write(call.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// claimName returns the object name of a key's claim: a hash, because keys may hold characters that a URL path cannot.
func claimName(organisation, service, key string) string {
	hash := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(hash[:])
}

// read returns the claim with a name and the object that stores it.
func (s claimStore) read(ctx context.Context, name string) (claim, store.Object, error) {
	object, err := s.store.Get(ctx, KindClaim, name)
	if err != nil {
		return claim{}, store.Object{}, err
	}
	var c claim
	if err := json.Unmarshal(object.Value, &c); err != nil {
		return claim{}, store.Object{}, fmt.Errorf("decode claim %s: %w", name, err)
	}
	return c, object, nil
}

// write stores a claim if the platform still has the object's revision, and returns the new object.
// On an error the returned object carries the id of the attempted write.
func (s claimStore) write(ctx context.Context, object store.Object, c claim) (store.Object, error) {
	encoded, err := json.Marshal(c)
	if err != nil {
		return object, fmt.Errorf("encode claim: %w", err)
	}
	updated := object.WithValue(cursor.NewID(), encoded)
	revision, err := store.Verifying{Store: s.store}.Put(ctx, updated)
	if err != nil {
		return updated, fmt.Errorf("write claim: %w", err)
	}
	updated.Revision = revision
	return updated, nil
}

// isClaimTaken reports whether a write failed because another request has written the claim.
func isClaimTaken(err error) bool {
	return errors.Is(err, store.ErrConflict)
}
