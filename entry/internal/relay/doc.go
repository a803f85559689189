// Package relay streams generations from engines to callers. It keeps one
// consistent token history for each answer and recovers from failed engines
// and broken connections.
//
// Package core/flow decides how to recover, and this package carries the
// decisions out. One goroutine owns the state of each generation. Readers and
// probes of engines run on goroutines of their own and only send it events.
package relay
