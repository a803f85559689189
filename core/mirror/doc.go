// Package mirror holds a copy of all stored objects of one kind as an immutable
// value.
//
// Pages come from the store and from peers, in any order. A view keeps the
// newest revision of each object. It remembers deleted objects too, so that an
// old page never restores an object that was deleted later.
package mirror
