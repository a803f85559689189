// Package model is a discrete-event model of instances before engines, for
// experiments with the routing decisions at sizes that do not fit a machine.
//
// It runs the product's own deciding code over modelled engines: slots, prompt
// caches and reports that lag.
package model
