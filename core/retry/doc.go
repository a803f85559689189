// Package retry bounds how often requests are sent again, and decides whether one
// whose target is silent moves to another.
//
// Each instance keeps to its own share of the bound, a ratio of the requests
// that it received recently, so that the bound holds for all instances without
// communication between them. Only retries beyond that share, up to a part of
// the common bound, depend on what the other instances reported.
package retry
