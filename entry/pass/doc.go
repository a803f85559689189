// Package pass forwards requests to targets and answers with what they return.
//
// What may be sent again follows from the route. Idempotent requests go to
// another target after a failure, within the route's attempts and the fleet's
// retry bound. A request that runs at most once is sent once. A stream goes on
// at another target after its last event, from the copy that its target kept
// elsewhere if there is one.
package pass
