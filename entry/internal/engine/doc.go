// Package engine calls targets: model engines and plain services.
//
// Client and Caller are the interfaces that the rest of the instance uses.
// HTTP and HTTPCaller implement them over net/http.
package engine
