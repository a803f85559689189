// Package filter holds the filters that calls pass on their way to a handler:
// logging, metrics, authentication, validation, routing and limits.
package filter
