// Package feed keeps local copies of stored objects up to date.
//
// Each feed follows one kind of object in the store: it lists all objects, then
// watches from the revision of the list, at a bounded rate. A Swap exchanges
// the copies with peers, so that an instance that cannot reach the store still
// receives changes.
package feed
