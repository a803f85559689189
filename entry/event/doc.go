// Package event reads streams of events (text/event-stream) as they were
// received, one whole event at a time.
package event
