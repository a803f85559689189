// Package flow decides how one long generation goes on: which tokens belong to
// the answer, when silence becomes suspicion, and what to do after a loss.
//
// Everything here is a pure function over immutable values; reading engines
// and writing to callers is the work of the entry instance's relay.
package flow
