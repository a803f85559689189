// Package pool watches targets and chooses one for each request.
//
// Its controller keeps a table of the targets that this instance watches: a
// stable subset of the declared ones, with their load, health and an estimate
// of their prompt caches. Requests read the table without locks.
package pool
