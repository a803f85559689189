// Package conns serves callers over connections that are closed only between
// requests.
//
// Package net/http closes idle connections from outside the goroutine that reads
// them, and learns that a request has arrived only once its head is parsed. A
// connection that it closes in between takes a request with it: the handler still
// runs, and its answer has nowhere to go. Here the bytes of a request and the
// decision to close its connection are put in order by one atomic phase for each
// connection, so that a request is either answered or was never read. Several
// requests may be read at once: a framer tells where each of them ends, and the
// connection stays open until the last one is answered. Behind a body in chunks it
// cannot tell, and a request there is dropped if the connection closes.
//
// A few stray bytes, such as a line break after a body, count as the beginning of a
// request only for a while: net/http sets no deadline before it has four bytes.
package conns
