// Package link sends requests to targets over connections that it keeps.
//
// A connection carries one request at a time. The package replaces the
// transport of net/http, which hides three decisions that are made here: a
// request is never sent a second time, a response to another request is skipped,
// and a connection that has received bytes while idle is not reused.
package link
