// Package wire defines the messages that instances send to each other.
//
// Messages form a sealed set of types. Encode and Decode convert them to CBOR
// and back; all other code uses the typed values.
package wire
