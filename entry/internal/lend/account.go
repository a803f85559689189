package lend

import (
	"sync/atomic"
	"time"
)

// account counts the slots of one organisation's ceiling that this instance was granted and uses.
type account struct {
	running atomic.Int64 // running counts the generations that hold a slot.
	waiting atomic.Int64 // waiting counts the requests that wait for a slot.
	granted atomic.Int64
	expiry  atomic.Int64  // expiry is when the granted slots expire, in nanoseconds since the controller started.
	lastUse atomic.Int64  // lastUse is when a slot was last requested, in the same unit.
	wakeups chan struct{} // wakeups, of capacity 1, lets a waiting request check for a free slot.
}

// newAccount returns an account without slots.
func newAccount() *account {
	return &account{wakeups: make(chan struct{}, 1)}
}

// release returns a slot to the account.
func (a *account) release() {
	a.running.Add(-1)
	a.wakeWaiter()
}

// setGrant replaces the granted slots and their expiry.
func (a *account) setGrant(slots int, expiry time.Duration) {
	a.granted.Store(int64(slots))
	a.expiry.Store(int64(expiry))
	a.wakeWaiter()
}

// tryAcquire takes a slot if a granted one is free.
func (a *account) tryAcquire(now time.Duration) bool {
	for {
		running := a.running.Load()
		if running >= a.usableSlots(now) {
			return false
		}
		if a.running.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

// usableSlots returns the number of granted slots that have not expired.
func (a *account) usableSlots(now time.Duration) int64 {
	if a.expiry.Load() < int64(now) {
		return 0
	}
	return a.granted.Load()
}

// wakeWaiter lets one waiting request check for a free slot.
func (a *account) wakeWaiter() {
	select {
	case a.wakeups <- struct{}{}:
	default:
	}
}

// wantedSlots returns the number of slots to borrow, with a quarter and one to spare for the next requests.
func (a *account) wantedSlots() int {
	needed := int(a.running.Load() + a.waiting.Load())
	return needed + needed/4 + 1
}
