// Package pass forwards requests to targets and returns their responses.
//
// The route decides whether a request may be sent again. An idempotent request
// goes to another target after a failure, within the route's attempts and the
// fleet's retry bound. A request that runs at most once goes to another target
// only if none has run it. Streams are run by package flight.
package pass
