// Package quota bounds the memory that the requests of an instance hold
// together.
//
// A Budget is shared by all requests. Each request has an Account in its
// context, from which it takes before it stores received bytes, and which gives
// everything back when the request ends.
package quota
