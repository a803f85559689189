// Package fleet is the controller of membership.
//
// Its desired state is a view in which each live instance is alive and each
// silent one is not. Like SWIM, it probes members in turn, directly and then
// through others, suspects those that do not answer, and spreads updates with
// the heartbeats. Each instance probes only a few neighbours, which are stable.
// The platform's list lags behind, so it adds members but does not remove them.
package fleet
