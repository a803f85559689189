package feed

import (
	"context"
	"time"

	"bramleywharf.example/core/mirror"
	"bramleywharf.example/core/wait"
	"github.com/pkg/errors"
)

// watcher is the state that one feed keeps between its calls of the store.
type watcher struct {
	feed          *Feed
	era           uint64 // era is the era of revision.
	revision      uint64 // revision is where the next watch starts.
	listed        bool   // listed is true once revision is known.
	queried       bool   // queried is true after the first call, a list that may be stale.
	wasIdle       bool   // wasIdle is true after other instances queried the store for this one.
	failing       bool   // failing is true while calls fail, so that each series of failures logs one line.
	backoff       time.Duration
	takeoverUntil time.Time // takeoverUntil is when this instance stops querying if it is not elected again.
}

// queryOnce makes one call, handles its result and waits until the next call is due.
func (w *watcher) queryOnce(ctx context.Context) {
	f := w.feed
	start := time.Now()
	if w.wasIdle {
		w.wasIdle = false
		w.advance(f.View().Era(), f.View().Revision())
	}
	w.listed = w.listed && w.era == f.Era()
	isFirst := !w.queried
	w.queried = true
	page, err := w.listOrWatch(ctx, isFirst)
	switch {
	case ctx.Err() != nil:
		return
	case errors.Is(err, ErrForgotten):
		f.log.WithField("revision", w.revision).Info("store no longer holds the history; listing again")
		w.listed = false
		wait.Sleep(ctx, f.settings.Pace-time.Since(start))
		return
	case err != nil:
		w.recordFailure(err)
		wait.Sleep(ctx, w.nextBackoff())
		return
	}
	w.listed = f.accepts(page)
	if w.listed {
		w.recordSuccess(page, start, isFirst)
	} else {
		f.Learn(page.Era) // The next call is a list of that era.
	}
	wait.Sleep(ctx, f.settings.Pace-time.Since(start))
}

// listOrWatch makes one call. The first one is a list that may be stale, since a watch of this or another instance confirms it; that
// is what a start of the whole fleet costs most. A failed watch is followed by a list, since the store leaves a watch without an answer
// when the history is gone.
func (w *watcher) listOrWatch(ctx context.Context, isFirst bool) (mirror.Page, error) {
	if !w.listed {
		ctx, cancel := wait.Limits{First: callTimeout, Silence: callTimeout, Whole: maxCallTime}.Context(ctx)
		defer cancel()
		if isFirst {
			return w.feed.store.ListStale(ctx)
		}
		return w.feed.store.List(ctx)
	}
	ctx, cancel := wait.Limits{First: watchWait + callTimeout, Silence: callTimeout, Whole: maxCallTime}.Context(ctx)
	defer cancel()
	page, err := w.feed.store.Watch(ctx, w.revision, watchWait)
	if err != nil {
		w.listed = false
	}
	return page, err
}

// nextBackoff returns the delay after a failed call and doubles it for the next, up to backoffMax.
func (w *watcher) nextBackoff() time.Duration {
	f := w.feed
	if members := f.fleet.Load(); members != nil &&
		!(*members).Elected(f.role(), takeoverCount((*members).Size())) {
		return backoffStandby
	}
	backoff := w.backoff
	w.backoff = min(2*backoff, backoffMax)
	return backoff
}

// advance makes the next watch start at a revision of an era, unless it would start later anyway.
func (w *watcher) advance(era, revision uint64) {
	switch {
	case era > w.era:
		w.era, w.revision = era, revision
	case era == w.era:
		w.revision = max(w.revision, revision)
	}
}

// recordFailure logs the first failed call of a series.
func (w *watcher) recordFailure(err error) {
	if !w.failing {
		w.failing = true
		w.feed.log.WithError(err).WithField("revision", w.revision).Warn("store is unreachable; trying again")
	}
}

// recordSuccess merges the page of a call that began at start. A watch confirms the view as of its answer, a list
// only as of its start, and the first, stale list not at all.
func (w *watcher) recordSuccess(p mirror.Page, start time.Time, isFirst bool) {
	f := w.feed
	if w.failing {
		w.failing = false
		f.log.WithField("revision", p.Revision).Info("store is reachable again")
	}
	w.backoff = backoffBase
	asOf := start
	if !p.Complete {
		asOf = time.Now()
	}
	w.advance(p.Era, p.Revision)
	if !isFirst {
		f.Confirm(time.Since(asOf))
	}
	f.Take(p, "store")
}
