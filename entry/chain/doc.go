// Package chain defines the requests that callers make, the answers that they
// get, and the chain of filters that a call passes through.
//
// It does not depend on HTTP or on an encoding: a front end decodes messages to
// calls and encodes the answers.
package chain
