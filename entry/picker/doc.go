// Package picker chooses targets for forwarded requests.
//
// It keeps the roster of targets and, for each, the requests of this instance
// in flight and a belief formed from their outcomes. On a request's path it
// reads atomics only.
package picker
