// Package cell publishes immutable values to readers without locks.
//
// Readers load a pointer; writers copy, change and swap it one at a time, in
// the manner of read-copy-update.
package cell
