// Package flight runs streamed requests. It relays events to the caller as they
// arrive. When the target is lost, it continues the stream after the last event
// at another target, from a replica of the prompt memory if there is one.
package flight
