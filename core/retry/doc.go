// Package retry bounds how often requests are sent a second time.
//
// Each instance keeps its own share of the bound, a ratio of the requests that
// it received lately, so the bound holds over all instances without a word
// between them.
package retry
