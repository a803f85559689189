// Package health holds what one instance believes of a target from the outcomes of its own requests.
package health
