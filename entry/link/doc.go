// Package link sends requests to targets over connections that it keeps.
//
// A connection carries one request at a time. What net/http's transport hides
// is decided here: nothing is ever sent a second time, a response that belongs
// to another request is skipped, and a connection with unread bytes is not
// used again.
package link
