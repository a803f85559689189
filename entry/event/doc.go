// Package event reads the events of a stream from a target's response and tells which event may come next.
//
// A target that fails may send other text in the place of events, such as the
// head of another response. The reader returns only what is an event, whole.
package event
