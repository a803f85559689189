// Package picker chooses targets for forwarded requests.
//
// It keeps the set of targets and, for each, this instance's load, the load
// that other instances reported, and a health estimate from the outcomes of
// this instance's requests. Choosing a target for a non-streaming request reads
// atomics only; a stream also looks up its session's placement under a lock.
package picker
