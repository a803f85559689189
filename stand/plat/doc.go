// Package plat is a stand-in for the platform's service.
//
// It offers an object API with revisions, conditional updates and watches, a
// list of instances that lags behind and a rate-limited weight store. Faults
// are set over HTTP, so that a test can make it fail while it runs.
package plat
