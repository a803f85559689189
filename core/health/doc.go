// Package health estimates the health of a target from the outcomes of one instance's own requests.
package health
