package cell

import (
	"sync"
	"sync/atomic"
)

// Cell holds the current version of an immutable value.
type Cell[T any] struct {
	current atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// New returns a cell that holds a value.
func New[T any](value T) *Cell[T] {
	c := &Cell[T]{changed: make(chan struct{})}
	c.current.Store(&value)
	return c
}

// Changed returns a channel that closes at the next update.
func (c *Cell[T]) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Load returns the current value without waiting.
func (c *Cell[T]) Load() T {
	return *c.current.Load()
}

// Update replaces the value by what change makes of it; changes are applied one at a time.
func (c *Cell[T]) Update(change func(T) T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := change(*c.current.Load())
	c.current.Store(&next)
	close(c.changed)
	c.changed = make(chan struct{})
	return next
}
