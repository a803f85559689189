// Package stop holds the planned stop of an instance for those that act on it while
// requests are in progress.
package stop
