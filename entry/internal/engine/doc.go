// Package engine is the border to the targets: model engines and plain services.
//
// Client and Caller are the interfaces that the rest of the instance uses;
// the HTTP types speak the published protocols over net/http.
package engine
