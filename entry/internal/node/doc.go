// Package node assembles the controllers and the filter chain of one entry
// instance, with the clients for its outgoing calls passed in.
package node
