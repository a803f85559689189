// Package watch is the controller of configuration.
//
// Its wanted state is the newest snapshot that any instance or the platform
// holds. A few elected instances watch the platform; the rest learn of a new
// revision from heartbeats and pull it from the peer that has it. A revision
// never goes down. The controller also judges whether this instance can still
// know what is in force.
package watch
