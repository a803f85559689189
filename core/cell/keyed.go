package cell

import (
	"sync"
	"sync/atomic"
)

// Keyed holds an immutable value for each key, initially the zero value, for use with TryUpdate.
type Keyed[T any] struct {
	values sync.Map // values maps keys to an *atomic.Pointer[T].
}

// At returns the pointer to the value of a key.
func (k *Keyed[T]) At(key string) *atomic.Pointer[T] {
	if v, ok := k.values.Load(key); ok {
		return v.(*atomic.Pointer[T])
	}
	fresh := &atomic.Pointer[T]{}
	fresh.Store(new(T))
	v, _ := k.values.LoadOrStore(key, fresh)
	return v.(*atomic.Pointer[T])
}

// Range calls f for each key and its value until f returns false.
func (k *Keyed[T]) Range(f func(key string, value T) bool) {
	k.values.Range(func(key, v any) bool { return f(key.(string), *v.(*atomic.Pointer[T]).Load()) })
}
