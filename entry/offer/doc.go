// Package offer sends streamed requests to targets and reads their responses.
//
// An offer is one send. Its goroutine reports each step of the response to the
// owner of the stream, which can watch several offers at once and close those
// that it no longer needs. The other types hold what the owner keeps beside its
// offers: the time with two of them, the targets that refused or are avoided, and
// whether the head of the response was sent in time.
package offer
