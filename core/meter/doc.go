// Package meter counts the bytes of network connections.
package meter
