// Package demo shows the main job to a person: two long generations, an
// order, the death of an engine, a caller that comes back elsewhere and a
// planned stop, with a line for each promise checked.
package demo
