// Package proof holds the fault matrix: whole nodes over small fakes at their
// borders, in virtual time, with every fault at every step of each path and a
// checker for the promises. It has no code outside its tests.
package proof
