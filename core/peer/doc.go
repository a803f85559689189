// Package peer carries messages between instances over QUIC.
//
// The two ends authenticate each other by a key that all instances derive from
// the fleet's secret. Each stream carries one request and its response;
// connections are reused and closed when they have been idle for a while.
package peer
