// Package admit decides which streams of a service are sent to its targets, which wait and which are refused.
//
// It takes part only where a target's room is what streams compete for: while a target has room and nothing waits,
// every stream is served. When no target has room, streams wait in an order, and those that cannot end before their
// deadline by a conservative estimate are refused at once, with a time to come back.
//
// The package addresses these loads: a burst of a class of low priority beside one of the class of highest priority,
// the loss of a failure domain's targets for about a second every few seconds, targets that become slower by a factor
// of five, a session that accounts for a third of the streams, callers that come back at once after a refusal, and
// callers that disconnect while they wait.
//
// All values are immutable, and times are given by the caller.
package admit
