// Package deny defines the refusals that callers get in place of a result.
//
// A refusal always says whether the request was executed. ExecutedNo
// guarantees that no part of the request ran or will run.
package deny
