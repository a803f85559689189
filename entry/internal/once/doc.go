// Package once runs calls of plain services, the non-idempotent ones at most once.
//
// Who may run a key is decided by an authority. Claim lets the platform
// decide, by the conditional creation of an object; Issuer lets the memory of
// the instance that issued the key decide. After a call may have reached its
// service, it is never sent again; what became of it is read from the claim or
// from the service's status call, and is called unknown otherwise.
package once
