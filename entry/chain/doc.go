// Package chain holds the requests that callers make, the answers they get and
// the filters that stand between.
//
// It knows neither HTTP nor an encoding: a front end turns its messages into
// calls and answers back into messages.
package chain
