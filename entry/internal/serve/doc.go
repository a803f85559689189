// Package serve is the last handler of the chain: it runs calls that passed
// all filters, each kind by the part of the instance that is for it.
package serve
