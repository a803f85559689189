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

// Swap replaces the value that a pointer holds by what change makes of it, in the manner of Update but without a lock or notice; it returns false when change refuses.
//
// change runs again when another writer was faster, so it must have no effects of its own.
func Swap[T any](p *atomic.Pointer[T], change func(T) (T, bool)) bool {
	for {
		old := p.Load()
		next, ok := change(*old)
		if !ok {
			return false
		}
		if p.CompareAndSwap(old, &next) {
			return true
		}
	}
}
