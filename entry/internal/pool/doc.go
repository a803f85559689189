// Package pool is the controller of targets.
//
// Its wanted state is a table of the targets that this instance watches: a
// stable subset of those declared, with their load, their health and a belief
// about their caches. Requests read the table without locks.
package pool
