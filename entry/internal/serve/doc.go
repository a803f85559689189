// Package serve is the last handler of the filter chain: it runs the calls that
// passed all filters, each kind in its way.
package serve
