// Package cell holds immutable values that are read without locks and replaced
// by writers, as in read-copy-update.
package cell
