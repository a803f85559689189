// Package model is a discrete-event simulation of instances in front of
// engines, for experiments with routing decisions at fleet sizes that do not
// fit on one machine.
//
// It runs the product's own routing code over simulated engines, which have
// slots, prompt caches and load reports at intervals.
package model
