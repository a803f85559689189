// Package plain is a stand-in for a plain service, one that is not a model
// engine, such as a shop that takes orders.
//
// It executes every call that reaches it, repeats included, and counts the
// executions of each key, so that a test can see whether a call ran twice.
package plain
