// Package board decodes the objects that feeds receive: the configuration of
// forwarded requests and the declared targets.
package board
