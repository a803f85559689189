// Package feed keeps copies of stored objects up to date.
//
// Each feed follows one kind at the store: it lists, then watches from where
// the list ended, at a bounded pace. A swap exchanges the copies with peers, so
// that an instance that the store refuses still learns what changed.
package feed
