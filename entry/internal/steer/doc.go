// Package steer is the controller of orders to engines.
//
// Its wanted state is that each engine holds the models that its declaration
// names. One instance, the holder of a lease in the platform, reads back what
// engines hold and orders what is missing, a few loads at a time so that the
// weight store is not stampeded.
package steer
