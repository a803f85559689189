package outbox

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"bramleywharf.example/core/quota"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/chain"
	"github.com/pkg/errors"
)

// maxHeld bounds the bytes that are held for one caller. The streams of long prompts take less than this.
const maxHeld = 64 << 10

// retryInterval is the pause before memory is asked for again.
const retryInterval = 50 * time.Millisecond

// Errors of a box.
var (
	// ErrCut means that the caller was cut since memory is short and it did not read.
	ErrCut = errors.New("caller does not read, and the memory for slow readers is short")
	// errClosed means that the call has ended.
	errClosed = errors.New("stream has ended")
)

// Box is the outlet of one stream, which takes events although the caller is slow to read them.
type Box struct {
	*wait.Loop
	set     *Set
	outlet  chain.Outlet
	account *quota.Account
	wake    chan struct{}
	freed   chan struct{} // freed holds a value after the caller has read.

	// These fields are guarded by the mutex of set.
	pending    [][]byte // pending holds events that are not being written yet.
	held       int64    // held counts pending and what is being written.
	taken      int64    // taken is the part of held that was taken from the account.
	progressAt time.Time
	err        error // err is why the box takes no more events.
	finishing  bool  // finishing tells that no event will follow.
}

var _ chain.Outlet = (*Box)(nil)

// Begin sends the head of a response.
func (b *Box) Begin(h chain.Head) error {
	return b.outlet.Begin(h)
}

// Event takes one whole event. It waits while the caller has too many that it has not read.
func (b *Box) Event(raw []byte) error {
	for {
		took, err := b.add(raw)
		if err != nil || took {
			return err
		}
		b.set.relieve()
		select {
		case <-b.freed:
		case <-b.Done():
		case <-time.After(retryInterval):
		}
	}
}

// add appends an event if there is memory for it.
func (b *Box) add(raw []byte) (bool, error) {
	size := int64(len(raw))
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	switch {
	case b.err != nil:
		return false, b.err
	case b.held > 0 && b.held+size > maxHeld:
		return false, nil
	case b.account.Take(size) == nil:
		b.taken += size
	case b.held > 0:
		return false, nil // A caller that has nothing unread gets its event in any case.
	}
	if b.held == 0 {
		b.progressAt = time.Now()
	}
	b.pending = append(b.pending, bytes.Clone(raw))
	b.held += size
	notify(b.wake)
	return true, nil
}

// Abort ends the box without the events that the caller has not read.
func (b *Box) Abort() {
	b.fail(errClosed)
	b.outlet.Abort()
}

// Finish waits until the caller has all events. It returns an error if it does not get them.
func (b *Box) Finish(ctx context.Context) error {
	b.set.mu.Lock()
	b.finishing = true
	b.set.mu.Unlock()
	notify(b.wake)
	select {
	case <-b.Done():
	case <-ctx.Done():
		b.fail(ctx.Err())
	}
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	return b.err
}

// write passes events on until the box has failed or finished. It writes them one by one, since the time that a write may
// wait for the caller is meant for one event, and so that a caller that reads slowly is seen to read.
func (b *Box) write(ctx context.Context) {
	for {
		event, done := b.take()
		switch {
		case done:
			return
		case event == nil:
			select {
			case <-b.wake:
			case <-ctx.Done():
				return
			}
			continue
		}
		if err := b.outlet.Event(event); err != nil {
			b.fail(fmt.Errorf("write buffered event: %w", err))
			return
		}
		b.release(int64(len(event)))
	}
}

// take returns the event that is to be written next, or nil, and whether there will be none.
func (b *Box) take() (event []byte, done bool) {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	if b.err != nil || len(b.pending) == 0 {
		return nil, b.err != nil || b.finishing
	}
	event, b.pending = b.pending[0], b.pending[1:]
	return event, false
}

// release gives back the memory of events that were written.
func (b *Box) release(size int64) {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	b.held -= size
	b.progressAt = time.Now()
	given := min(size, b.taken)
	b.taken -= given
	b.account.Give(given)
	notify(b.freed)
}

// fail records why the box takes no more events, unless it has failed before.
func (b *Box) fail(err error) {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	notify(b.wake)
	notify(b.freed)
}

// Close ends the box and gives back its memory. A write that waits for the caller is aborted; otherwise the connection stays
// usable, since the end of the response is still to be written.
func (b *Box) Close() {
	b.fail(errClosed)
	for isDone := false; !isDone; {
		select {
		case <-b.Done():
			isDone = true
		case <-time.After(retryInterval):
			b.outlet.Abort()
		}
	}
	b.Loop.Close()
	b.account.Close()
	b.set.remove(b)
}

// notify puts a value into a channel that holds at most one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
