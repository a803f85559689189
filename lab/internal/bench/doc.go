// Package bench measures what a loss costs: the time until tokens flow again
// and the engine work spent on it, for each recovery policy beside the plain
// restart, in one run against real processes.
package bench
