// Package store is the border to the platform's object API and instance list.
//
// Store is the interface; HTTP speaks the published protocol, Memory is a
// stand-in with faults for tests, and the wrappers add one thing each:
// Counted counts calls and Settled finds out what became of a write whose
// answer was lost. Values are JSON; the platform bounds them to 1 MiB.
package store
