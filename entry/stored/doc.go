// Package stored keeps the orders and the states of roll-outs in the platform's store. Revisions are combined with the era
// of the store, which gives them out again after it has come back from a copy.
package stored
