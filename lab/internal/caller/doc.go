// Package caller is an HTTP client of the interface that bramleywharf offers to callers.
package caller
