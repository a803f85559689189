// Package mirror holds a copy of all stored objects of one kind as an immutable
// value.
//
// Pages come from the store and from peers, in any order. A view keeps the
// newest revision of each object. It remembers deleted objects too, so that an
// old page never restores an object that was deleted later. A view that was
// built from a list lacks the deletions before it, and passes on the names of
// all objects to a peer that may lack them too.
//
// A store that comes back from a copy gives out its revisions again, in a later
// era. A view holds objects of one era only, and enters a later one by a
// complete page. It remembers how the earlier eras held the objects, since the
// copy lacks what was written after it was taken.
package mirror
