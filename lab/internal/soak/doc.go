// Package soak runs instances as real processes before stand-ins, injects
// faults from outside by a seeded plan, and checks the promises by what
// callers and targets see.
package soak
