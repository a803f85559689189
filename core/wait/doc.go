// Package wait provides a sleep that ends early with its context, and the
// background loop of a controller.
package wait
