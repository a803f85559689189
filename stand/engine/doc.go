// Package engine is a stand-in for a model engine.
//
// Each token is a pure function of the request and the tokens before it, so
// that a generation resumed from a forced prefix continues the same text and
// a test can compute the whole answer. The engine runs generations in a
// bounded number of slots, serves the queue by priority, caches prompt
// prefixes, keeps generating when readers disconnect and counts its tokens.
package engine
