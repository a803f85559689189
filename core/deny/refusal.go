package deny

import (
	"fmt"
	"time"
)

// Executed says whether a refused request was executed, as far as is known.
type Executed string

// The values of Executed.
const (
	ExecutedNo      Executed = "no"
	ExecutedUnknown Executed = "unknown"
)

// Kind classifies refusals; it is the last part of the type URN that callers get.
type Kind string

// The kinds of refusals.
const (
	KindBlocked      Kind = "blocked"      // KindBlocked is a prompt with a part that crashes targets.
	KindConflict     Kind = "conflict"     // KindConflict is an idempotency key already used with another request.
	KindForbidden    Kind = "forbidden"    // KindForbidden is a model or service that the caller may not use.
	KindInternal     Kind = "internal"     // KindInternal is a fault in this system.
	KindLimit        Kind = "limit"        // KindLimit is an organisation at its ceiling of running generations.
	KindLost         Kind = "lost"         // KindLost is a generation that can no longer be continued.
	KindMalformed    Kind = "malformed"    // KindMalformed is a request that cannot be parsed or has invalid values.
	KindOutcome      Kind = "outcome"      // KindOutcome is a non-idempotent request whose outcome is unknown.
	KindTimeout      Kind = "timeout"      // KindTimeout is a result that did not arrive in time.
	KindTooLarge     Kind = "too-large"    // KindTooLarge is a request over a size limit.
	KindUnauthorised Kind = "unauthorised" // KindUnauthorised is a missing or unknown API key.
	KindUnavailable  Kind = "unavailable"  // KindUnavailable is a lack of targets, of the platform or of time.
	KindUnknown      Kind = "unknown"      // KindUnknown is a name or path that is not configured.
)

// Refusal is the error that a caller gets in place of a result. It is immutable.
type Refusal struct {
	Kind       Kind
	Detail     string
	Executed   Executed
	RetryAfter time.Duration // RetryAfter is the delay before a retry; 0 means that a retry cannot help.
}

// New returns a refusal of a request that was not executed.
func New(kind Kind, format string, args ...any) Refusal {
	return Refusal{Kind: kind, Detail: fmt.Sprintf(format, args...), Executed: ExecutedNo}
}

// Error describes the refusal in one line.
func (r Refusal) Error() string {
	return fmt.Sprintf("refused (%s, executed: %s): %s", r.Kind, r.Executed, r.Detail)
}

// WithExecuted returns a copy with Executed replaced.
func (r Refusal) WithExecuted(executed Executed) Refusal {
	r.Executed = executed
	return r
}

// WithRetryAfter returns a copy that tells the caller to retry after a delay.
func (r Refusal) WithRetryAfter(delay time.Duration) Refusal {
	r.RetryAfter = delay
	return r
}
