// Package plain is a stand-in for a plain service that takes orders.
//
// It executes every call that reaches it, repeats included, and counts the
// executions of each key, so that a test can see whether one ran twice.
package plain
