// Package wait provides a sleep that ends early with its context, limits on
// calls by their progress, and the background loop of a controller.
package wait
