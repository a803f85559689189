// Package mirror holds a copy of one kind of stored objects as an immutable value.
//
// Pages come from the store and from peers, in any order. Each entry keeps the
// newest revision seen of it, deletions included, so that an old page never
// brings back what a newer one removed.
package mirror
