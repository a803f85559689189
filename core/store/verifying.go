package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// readBackDelay is the delay before a failed read-back, or a write that was not applied, is repeated.
const readBackDelay = 20 * time.Millisecond

// Verifying wraps a Store so that Put returns the outcome of a write even if its response was lost: a write with an
// unknown outcome or a conflicting write is read back and recognised by its write id. A conflict may be due to an
// earlier attempt of the same write.
type Verifying struct {
	Store
}

var _ Store = Verifying{}

// Put writes an object. While the outcome is unclear, it reads the object back and, if the write was not applied,
// repeats it until the context ends. An object without a write id is written once.
func (v Verifying) Put(ctx context.Context, o Object) (uint64, error) {
	revision, err := v.Store.Put(ctx, o)
	if err == nil || o.WriteID == "" {
		return revision, err
	}
	if !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrConflict) {
		return 0, err
	}
	return v.readBack(ctx, o, err)
}

// readBack determines the outcome of a write that failed with writeErr from the object that the platform holds now.
func (v Verifying) readBack(ctx context.Context, o Object, writeErr error) (uint64, error) {
	for {
		stored, err := v.Get(ctx, o.Kind, o.Name)
		switch {
		case err == nil && stored.WriteID == o.WriteID:
			return stored.Revision, nil
		case err == nil && stored.Revision != o.Revision:
			return 0, fmt.Errorf("write %s/%s: %w", o.Kind, o.Name, ErrConflict)
		case err == nil, errors.Is(err, ErrNotFound):
			if !errors.Is(writeErr, ErrOutcomeUnknown) {
				return 0, writeErr
			}
			return v.retry(ctx, o)
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("read back %s/%s: %w", o.Kind, o.Name, ErrOutcomeUnknown)
		case <-time.After(readBackDelay):
		}
	}
}

// retry repeats a write that was not found when read back; the condition on the revision keeps it from being applied
// twice.
func (v Verifying) retry(ctx context.Context, o Object) (uint64, error) {
	select {
	case <-ctx.Done():
		return 0, fmt.Errorf("retry write of %s/%s: %w", o.Kind, o.Name, ErrOutcomeUnknown)
	case <-time.After(readBackDelay):
	}
	return v.Put(ctx, o)
}
