// Package deny holds the refusals that callers get in place of an answer.
//
// A refusal always says whether the request was executed. ExecutedNo is a
// promise that nothing of the request ran or will run.
package deny
