// Package once runs calls of plain services, the non-idempotent ones at most once.
//
// Each non-idempotent call carries an idempotency key. An authority decides
// which request may send the call of a key: for keys that callers choose it is
// the platform, in which a claim object is created conditionally; for keys that
// the fleet issued it is the memory of the instance that issued the key. A call
// that may have reached its service is never sent again. Its outcome is read
// from the claim or from the service's status call; if neither shows it, the
// caller is told that the outcome is unknown.
package once
