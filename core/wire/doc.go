// Package wire holds the messages that the system's own processes exchange.
//
// Messages form a sealed set. Encode and Decode turn one into CBOR and back;
// everything else works on the typed values.
package wire
