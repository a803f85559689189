// Package plat is a stand-in for the platform's service.
//
// It offers an object API with versions, conditional updates and watches, a
// lagging list of instances and a rate-limited weight store. Faults are set
// over HTTP, so that a test can take it down while it runs.
package plat
