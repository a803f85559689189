// Package cursor encodes and decodes the event ids of token streams.
//
// An id holds the request, its engine and the position in the stream, so that
// any instance can resume the stream after that event. Ids are encrypted and
// authenticated with a key derived from the fleet's secret: callers can neither
// read nor forge them, and an id is valid only for the organisation to which it
// was issued.
package cursor
