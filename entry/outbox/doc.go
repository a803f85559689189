// Package outbox buffers the events of streams for callers that read slowly.
//
// Without a buffer a slow caller makes this instance leave the response of the
// target unread, which the target cuts after some seconds. The buffers take
// their memory from the budget of the instance. When that is short, the reader
// that holds most for the time since it last read is cut.
package outbox
