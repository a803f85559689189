// Package engine is a stand-in for a model engine.
//
// Its tokens are a pure function of the request and the tokens before them,
// so that a forced prefix continues the same text and a test can compute the
// whole answer. It batches generations in a bounded number of slots, serves
// waiting ones by priority, caches prompt prefixes, keeps running when its
// readers go away and counts the work it does.
package engine
