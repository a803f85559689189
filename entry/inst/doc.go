// Package inst puts an instance for routed requests together: its listeners,
// its controllers and the chain of its requests.
//
// What it reaches the outside by, and every encoding, comes in through its
// borders.
package inst
