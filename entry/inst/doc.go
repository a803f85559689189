// Package inst assembles an instance for forwarded requests: its listeners,
// its controllers and its filter chain.
//
// Its access to the store and all encodings are passed in as Borders.
package inst
