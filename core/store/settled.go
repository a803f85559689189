package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// settlePause is the wait before a write whose answer was lost is read back.
const settlePause = 20 * time.Millisecond

// Settled wraps a store so that a write ends in the truth: an uncertain or repeated write is read back and recognised by its write id.
type Settled struct {
	Store
}

var _ Store = Settled{}

// Put writes an object and, when the answer is lost, reads back until it knows or the context ends.
func (s Settled) Put(ctx context.Context, o Object) (uint64, error) {
	revision, err := s.Store.Put(ctx, o)
	if err == nil || o.WriteID == "" {
		return revision, err
	}
	if !errors.Is(err, ErrUncertain) && !errors.Is(err, ErrConflict) {
		return 0, err
	}
	return s.readBack(ctx, o, err)
}

// readBack decides an uncertain write by what the platform holds now.
func (s Settled) readBack(ctx context.Context, o Object, cause error) (uint64, error) {
	for {
		stored, err := s.Get(ctx, o.Kind, o.Name)
		switch {
		case err == nil && stored.WriteID == o.WriteID:
			return stored.Revision, nil
		case err == nil && stored.Revision != o.Revision:
			return 0, fmt.Errorf("write %s/%s: %w", o.Kind, o.Name, ErrConflict)
		case err == nil, errors.Is(err, ErrNotFound):
			if !errors.Is(cause, ErrUncertain) {
				return 0, cause
			}
			return s.retry(ctx, o)
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("read back %s/%s: %w", o.Kind, o.Name, ErrUncertain)
		case <-time.After(settlePause):
		}
	}
}

// retry repeats a write that was not there when read back; the condition on the revision keeps it from applying twice.
func (s Settled) retry(ctx context.Context, o Object) (uint64, error) {
	select {
	case <-ctx.Done():
		return 0, fmt.Errorf("repeat write of %s/%s: %w", o.Kind, o.Name, ErrUncertain)
	case <-time.After(settlePause):
	}
	return s.Put(ctx, o)
}
