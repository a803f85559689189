// Package block holds the losses of targets that had begun to answer requests
// with a part in their prompts, and blocks the parts that crash targets.
//
// Instances exchange the losses with each pull, see package feed, and keep them
// in the store, see package recall. Parts are known by keys there, which are
// hashes of their ids.
//
// A blocked part is released by the answer to a request that runs already, or
// as its losses expire. No request is let through to try it: each try may end
// another target, and over the lifetime of a loss even one each 10 s for the
// whole fleet would end more than the three that blocking takes.
package block
