// Package offer sends streamed requests to targets and reads their responses.
//
// An offer is one send. Its goroutine reports each step of the response to the
// owner of the stream, which can watch several offers at once and close those
// that it no longer needs.
package offer
