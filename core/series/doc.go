// Package series decides by the ids of a stream's events whether an event may come next. Ids increase; by how much is the
// target's choice, and is learned from the events that have come.
package series
