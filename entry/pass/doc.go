// Package pass forwards requests to targets and answers with what they return.
//
// What may be sent again follows from the route. Idempotent requests go to
// another target after a failure, within the route's attempts and the fleet's
// bound on repeats. A request that runs at most once is sent once. Streams have
// a package of their own.
package pass
