package feed

import (
	"time"

	"bramleywharf.example/core/mirror"
)

const (
	// allowanceRate is the average rate at which an instance sends pages of urgent objects, in bytes a second: a fifth of
	// a link of 10 Mbit/s, as the smallest machines have.
	allowanceRate = 256 << 10
	// allowanceBurst is the number of bytes that it may send at once; such a link is busy with them for 50 ms.
	allowanceBurst = 64 << 10
)

// allowance is the number of bytes of urgent objects that an instance may send at a time. A new configuration is wanted
// by the whole fleet at once, from the few instances that have it, whose links also carry the answers to callers. Its
// values are never changed after construction.
type allowance struct {
	bytes float64   // bytes is what was left at the time at; it is negative after a page that is larger than the burst.
	at    time.Time // at is the zero time if nothing has been sent.
}

// withPage returns the allowance after a page was sent, or false if the page has to wait. A page that is larger than the
// burst waits until nothing else was sent for a while.
func (a allowance) withPage(size int, now time.Time) (allowance, bool) {
	left := float64(allowanceBurst)
	if !a.at.IsZero() {
		left = min(left, a.bytes+allowanceRate*now.Sub(a.at).Seconds())
	}
	if left < min(float64(size), allowanceBurst) {
		return a, false
	}
	return allowance{bytes: left - float64(size), at: now}, true
}

// pageBytes returns the size of the objects and names of a page.
func pageBytes(p mirror.Page) int {
	size := 0
	for _, o := range p.Objects {
		size += len(o.Raw)
	}
	for _, name := range p.Unchanged {
		size += len(name)
	}
	return size
}
