// Package front is the HTTP front end for callers: it decodes requests into
// calls of the filter chain and encodes the answers as JSON or server-sent
// events.
package front
