// Package relay runs generations: it reads engines, keeps the one history that
// belongs to the answer and writes it to the caller, through the loss of
// engines and connections.
//
// Package flow decides; this package carries the decisions out. Each
// generation is owned by one goroutine, and each reader of an engine by one
// more that only sends it events.
package relay
