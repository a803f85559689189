package cell

import (
	"sync"
	"sync/atomic"
)

// Cell holds an immutable value that readers load without a lock and writers replace one at a time.
type Cell[T any] struct {
	current atomic.Pointer[T]
	mu      sync.Mutex
	changed chan struct{}
}

// New returns a cell with an initial value.
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

// Load returns the current value without locking.
func (c *Cell[T]) Load() T {
	return *c.current.Load()
}

// Update replaces the value with the result of change and returns it; concurrent updates run one at a time.
func (c *Cell[T]) Update(change func(T) T) T {
	return c.UpdateNotify(func(old T) (T, bool) { return change(old), true })
}

// UpdateNotify does the same, but the channel of Changed closes only if change returns true. Values whose readers poll
// only a part of them, such as a revision, need not wake the readers that wait.
func (c *Cell[T]) UpdateNotify(change func(T) (next T, notify bool)) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, notify := change(*c.current.Load())
	c.current.Store(&next)
	if notify {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return next
}

// Part is a part of the value of a cell.
type Part[T, P any] struct {
	cell *Cell[T]
	part func(T) P
}

// NewPart returns the part of a cell's value that a function selects.
func NewPart[T, P any](c *Cell[T], part func(T) P) Part[T, P] {
	return Part[T, P]{cell: c, part: part}
}

// Changed returns a channel that closes at the next update of the cell.
func (p Part[T, P]) Changed() <-chan struct{} {
	return p.cell.Changed()
}

// Load returns the part of the current value without locking.
func (p Part[T, P]) Load() P {
	return p.part(p.cell.Load())
}

// Raise replaces the value behind p if the given one is higher, and reports whether it is.
func Raise(p *atomic.Uint64, value uint64) bool {
	for {
		old := p.Load()
		if value <= old {
			return false
		}
		if p.CompareAndSwap(old, value) {
			return true
		}
	}
}

// TryUpdate replaces the value behind p with the result of change. Unlike Update it takes no lock and notifies nobody.
// It returns false, and leaves the value as it is, when change returns false.
//
// change runs again when another writer has replaced the value meanwhile, so it must have no side effects.
func TryUpdate[T any](p *atomic.Pointer[T], change func(T) (T, bool)) bool {
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
