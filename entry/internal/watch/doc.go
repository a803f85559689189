// Package watch is the controller of configuration.
//
// Its desired state is the newest snapshot that any instance or the platform
// holds. A few elected instances watch the platform; the others learn of a new
// revision from heartbeats and pull it from the peer that has it. The revision
// never decreases. The controller also decides whether the configuration may
// still be used, or is too old to be known as current.
package watch
