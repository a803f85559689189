package wait

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled is the cause of a context that ended for lack of progress.
var ErrStalled = errors.New("no progress within the time limit")

// Limits bounds a call by its progress, so that one that is slow but goes on is not cut off.
type Limits struct {
	First   time.Duration // First bounds the time until the first progress.
	Silence time.Duration // Silence bounds the time from each progress to the next; it never shortens First.
	Whole   time.Duration // Whole bounds the call with all its progress.
}

// stall ends a context when its deadline passes; progress moves the deadline on.
type stall struct {
	silence  time.Duration
	mu       sync.Mutex
	deadline time.Time
	timer    *time.Timer
}

// stallKey is the key of the stall in a context.
type stallKey struct{}

// Context returns a context that ends at these limits; Progress records the progress of what runs under it.
func (l Limits) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancelWhole := context.WithTimeout(ctx, l.Whole)
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stall{silence: l.Silence, deadline: time.Now().Add(l.First)}
	s.timer = time.AfterFunc(l.First, func() { cancel(ErrStalled) })
	return context.WithValue(ctx, stallKey{}, s), func() {
		s.stop()
		cancel(context.Canceled)
		cancelWhole()
	}
}

// Progress records progress of a call under a context of Limits; under any other context it does nothing.
func Progress(ctx context.Context) {
	if s, ok := ctx.Value(stallKey{}).(*stall); ok {
		s.renew()
	}
}

// Reader returns a reader of r that records progress under ctx now and whenever bytes have been read.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	Progress(ctx)
	return &progressReader{ctx: ctx, source: r}
}

// renew moves the deadline on, unless it has passed.
func (s *stall) renew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if deadline := time.Now().Add(s.silence); deadline.After(s.deadline) && s.timer.Stop() {
		s.deadline = deadline
		s.timer.Reset(s.silence)
	}
}

// stop releases the timer.
func (s *stall) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

// progressReader records progress whenever bytes have been read.
type progressReader struct {
	ctx    context.Context
	source io.Reader
}

// Read reads from the source.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		Progress(r.ctx)
	}
	return n, err
}
