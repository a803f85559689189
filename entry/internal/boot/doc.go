// Package boot starts an entry instance from its settings and stops it
// gracefully, so that requests in progress can finish.
package boot
