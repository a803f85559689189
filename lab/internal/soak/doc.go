// Package soak runs instances as real processes in front of stand-ins, injects
// faults from outside by a seeded plan, and checks the guarantees by what
// callers and targets receive.
package soak
