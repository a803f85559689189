// Package token seals the event ids of token streams.
//
// An id names the request, its engine and how far the stream has come, so
// that any instance can go on after it. Ids are encrypted and authenticated
// with the fleet's key: callers can neither read nor forge them, and an id is
// bound to the organisation that it was issued to.
package token
