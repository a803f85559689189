// Package block holds the losses of targets that had begun to answer requests
// with a part in their prompts, and blocks the parts that crash targets.
//
// Instances exchange the losses with each pull, see package feed.
package block
