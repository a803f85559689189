// Package keep is the controller of generation logs.
//
// Its wanted state is that each costly generation has a copy of its prompt
// and tokens at a peer in another failure domain, its keeper, so that it
// outlives both its engine and its instance, and that no abandoned generation
// goes on running at an engine.
package keep
