// Package merge joins the responses of the targets that run a stream, one after the other, into one series of events. It
// delays an event that may not belong to the stream until the next one tells.
package merge
