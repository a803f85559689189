// Package taint decides which parts of prompts crash the targets that begin to
// answer them.
//
// The evidence is the losses of targets at the begin of an answer. A part that
// is in all of several lost requests, and in none that was answered since, is
// blocked. Instances exchange their evidence: books merge in any order and any
// number of times to the same result.
package taint
