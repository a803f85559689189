// Package wait holds the one way to wait for a time that a context may cut
// short, and the loop of a controller.
package wait
