// Package canary decides the steps of a roll-out, which moves the traffic of a
// service to targets of a new version.
//
// The new version gets a small share of the traffic until the end of the order's
// time, less a reserve. Its responses are compared with those of the other
// versions over the same time, within routes and failure domains.
package canary
