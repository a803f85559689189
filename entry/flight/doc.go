// Package flight runs streams: it passes events on as they arrive and, when a
// target is lost, goes on at another one after the last event, from the copy
// that the target kept elsewhere if there is one.
package flight
