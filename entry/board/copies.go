package board

import (
	"sync"

	"bramleywharf.example/core/mirror"
	"bramleywharf.example/entry/feed"
	"github.com/apex/log"
)

// Copies decodes the stored objects of a kind that has few of them.
type Copies[T any] struct {
	*feed.Feed
	decode func(mirror.Object) (T, error)
	log    log.Interface

	mu      sync.Mutex
	decoded map[string]decodedCopy[T] // decoded holds the newest decoded object of each name.
}

// decodedCopy is an object in its decoded form; that of an invalid object is not used.
type decodedCopy[T any] struct {
	value    T
	revision uint64
	valid    bool
}

// NewCopies returns the decoded objects that a feed follows.
func NewCopies[T any](f *feed.Feed, decode func(mirror.Object) (T, error), logger log.Interface) *Copies[T] {
	return &Copies[T]{Feed: f, decode: decode, log: logger}
}

// All returns all valid objects in the order of their names; objects that did not change are not decoded again.
func (c *Copies[T]) All() []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.decoded
	c.decoded = make(map[string]decodedCopy[T], len(previous))
	var valid []T
	for o := range c.View().Live() {
		d, ok := previous[o.Name]
		if !ok || d.revision != o.Revision {
			d = c.decodeOrIgnore(o)
		}
		c.decoded[o.Name] = d
		if d.valid {
			valid = append(valid, d.value)
		}
	}
	return valid
}

// decodeOrIgnore decodes an object, and logs one that is invalid.
func (c *Copies[T]) decodeOrIgnore(o mirror.Object) decodedCopy[T] {
	value, err := c.decode(o)
	if err != nil {
		c.log.WithError(err).WithFields(log.Fields{"kind": c.Kind(), "entry": o.Name, "revision": o.Revision}).
			Warn("stored object is invalid; ignoring it")
	}
	return decodedCopy[T]{value: value, revision: o.Revision, valid: err == nil}
}
