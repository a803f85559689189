// Package node puts the controllers and the chain of one entry instance
// together over its borders, whatever carries them.
package node
