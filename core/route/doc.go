// Package route selects the targets that an instance watches, the one that
// takes a request, and the instances that callers are sent to.
package route
