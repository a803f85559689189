package deny

import (
	"fmt"
	"time"
)

// Executed says what is known about the execution of a refused request.
type Executed string

// What can be known about a refused request.
const (
	ExecutedNo      Executed = "no"
	ExecutedUnknown Executed = "unknown"
)

// Kind classifies refusals, in the words used in their type URNs.
type Kind string

// The kinds of refusals.
const (
	KindConflict     Kind = "conflict"     // KindConflict is a key already used with another body.
	KindForbidden    Kind = "forbidden"    // KindForbidden is a model or service outside the caller's limits.
	KindInternal     Kind = "internal"     // KindInternal is a fault of the system itself.
	KindLimit        Kind = "limit"        // KindLimit is a voted ceiling that is reached.
	KindLost         Kind = "lost"         // KindLost is a generation that can no longer be continued.
	KindMalformed    Kind = "malformed"    // KindMalformed is a request that cannot be understood.
	KindOutcome      Kind = "outcome"      // KindOutcome is a non-idempotent call whose outcome cannot be known.
	KindTimeout      Kind = "timeout"      // KindTimeout is an answer that did not come in time.
	KindTooLarge     Kind = "too-large"    // KindTooLarge is a request over a size bound.
	KindUnauthorised Kind = "unauthorised" // KindUnauthorised is a missing or wrong key.
	KindUnavailable  Kind = "unavailable"  // KindUnavailable is a lack of targets, platform or time.
	KindUnknown      Kind = "unknown"      // KindUnknown is a name that is not configured.
)

// Refusal is a truthful answer to a request that gets no result; it is an error value and never changed.
type Refusal struct {
	Kind       Kind
	Detail     string
	Executed   Executed
	RetryAfter time.Duration // RetryAfter is 0 when a retry cannot help.
}

// New returns a refusal of a request that was not executed.
func New(kind Kind, format string, args ...any) Refusal {
	return Refusal{Kind: kind, Detail: fmt.Sprintf(format, args...), Executed: ExecutedNo}
}

// Error describes the refusal in one line.
func (r Refusal) Error() string {
	return fmt.Sprintf("refused (%s, executed: %s): %s", r.Kind, r.Executed, r.Detail)
}

// WithExecuted returns a copy that says what is known about execution.
func (r Refusal) WithExecuted(e Executed) Refusal {
	r.Executed = e
	return r
}

// WithRetryAfter returns a copy that tells the caller when to try again.
func (r Refusal) WithRetryAfter(d time.Duration) Refusal {
	r.RetryAfter = d
	return r
}
