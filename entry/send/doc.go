// Package send holds what every send to a target needs: its message, what
// responses say, the bound on repeats, and the metrics.
package send
