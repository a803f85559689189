// Package peer carries messages between instances over QUIC.
//
// Both ends prove that they hold the fleet's key. One stream carries one
// question and its answer; connections are kept while they are used.
package peer
