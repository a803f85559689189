// Package fleet is the controller of membership.
//
// Its wanted state is a view in which every live instance is alive and every
// silent one is not. It probes a few stable neighbours in turn, spreads what
// it learns with the heartbeats, and lets the platform's lagging list add
// members but not remove them.
package fleet
