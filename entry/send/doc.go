// Package send holds what every request to a target needs: the message to the
// target, the reading of its responses, the limit on retries, and the metrics.
package send
