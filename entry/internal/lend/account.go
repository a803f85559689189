package lend

import (
	"sync/atomic"
	"time"
)

// account is what this instance holds and spends of one organisation's ceiling.
type account struct {
	running atomic.Int64
	waiting atomic.Int64
	held    atomic.Int64
	until   atomic.Int64 // until is when held lapses, in nanoseconds since the controller began.
	used    atomic.Int64 // used is when a slot was last asked for, in the same measure.
	granted chan struct{}
}

// newAccount returns an account that holds nothing.
func newAccount() *account {
	return &account{granted: make(chan struct{}, 1)}
}

// release gives a slot back.
func (a *account) release() {
	a.running.Add(-1)
	a.wake()
}

// set takes a grant that lapses at a time.
func (a *account) set(slots int, until time.Duration) {
	a.held.Store(int64(slots))
	a.until.Store(int64(until))
	a.wake()
}

// spend takes a slot if one is held and free.
func (a *account) spend(now time.Duration) bool {
	for {
		running := a.running.Load()
		if running >= a.valid(now) {
			return false
		}
		if a.running.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

// valid returns the slots that may be spent now.
func (a *account) valid(now time.Duration) int64 {
	if a.until.Load() < int64(now) {
		return 0
	}
	return a.held.Load()
}

// wake lets one waiting request look again.
func (a *account) wake() {
	select {
	case a.granted <- struct{}{}:
	default:
	}
}

// wanted returns the slots that this instance asks for, some to spare for the next requests.
func (a *account) wanted() int {
	need := int(a.running.Load() + a.waiting.Load())
	return need + need/4 + 1
}
