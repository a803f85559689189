package feed

import (
	"context"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/mirror"
	"bramleywharf.example/core/wait"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	watchWait   = 8 * time.Second         // watchWait is how long one watch waits; probes of the connection show earlier when it is dead.
	callTimeout = 1500 * time.Millisecond // callTimeout bounds a list, and a watch beyond its wait.
	backoffBase = 150 * time.Millisecond  // backoffBase is the first wait after a failed call.
	backoffMax  = 600 * time.Millisecond  // backoffMax bounds that wait, so that a store that returns is noticed well within two seconds.
	settle      = 2 * time.Second         // settle is how long after the store's return entries may still be missing.
)

// ErrForgotten is returned by a source that no longer holds the history after a revision.
var ErrForgotten = errors.New("the store no longer holds that history")

// Source reads one kind of stored objects.
type Source interface {
	// List returns all objects.
	List(ctx context.Context) (mirror.Page, error)
	// Watch returns the changes after a revision, waiting up to a time for the first.
	Watch(ctx context.Context, after uint64, wait time.Duration) (mirror.Page, error)
}

// Settings configures a feed.
type Settings struct {
	Kind string
	Pace time.Duration // Pace is the least time between two watches, since each is paid for.
}

// Feed follows one kind of stored objects.
type Feed struct {
	settings Settings
	source   Source
	log      log.Interface
	view     *cell.Cell[mirror.View]
	changes  *metrics.Counter
	lost     atomic.Bool
	returned atomic.Int64 // returned is when the store answered again after a loss, in nanoseconds since began.
	heard    atomic.Int64 // heard is when the store answered last, in nanoseconds since began.
	began    time.Time
	cancel   context.CancelFunc
	done     chan struct{}
}

// New returns a feed that begins to follow its source.
func New(s Settings, source Source, logger log.Interface, set *metrics.Set) *Feed {
	f := &Feed{
		settings: s,
		source:   source,
		log:      logger.WithField("kind", s.Kind),
		view:     cell.New(mirror.View{}),
		changes:  set.GetOrCreateCounter(`bramleywharf_feed_changes_total{kind="` + s.Kind + `"}`),
		began:    time.Now(),
		done:     make(chan struct{}),
	}
	f.returned.Store(int64(-settle))
	set.NewGauge(`bramleywharf_feed_revision{kind="`+s.Kind+`"}`, func() float64 { return float64(f.View().At()) })
	set.NewGauge(`bramleywharf_feed_age_seconds{kind="`+s.Kind+`"}`, func() float64 { return f.Age().Seconds() })
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() {
		defer close(f.done)
		f.loop(ctx)
	}()
	return f
}

// Age returns the time since the store answered last.
func (f *Feed) Age() time.Duration {
	return time.Since(f.began) - time.Duration(f.heard.Load())
}

// Changed returns a channel that closes at the next change.
func (f *Feed) Changed() <-chan struct{} {
	return f.view.Changed()
}

// Close stops following.
func (f *Feed) Close() {
	f.cancel()
	<-f.done
}

// Done is closed when the feed has stopped.
func (f *Feed) Done() <-chan struct{} {
	return f.done
}

// Kind returns the kind that is followed.
func (f *Feed) Kind() string {
	return f.settings.Kind
}

// Settled tells whether what the view lacks is gone, and not only lapsed while the store was away.
func (f *Feed) Settled() bool {
	return !f.lost.Load() && time.Since(f.began)-time.Duration(f.returned.Load()) >= settle
}

// Take merges a page from the store or a peer.
func (f *Feed) Take(p mirror.Page, from string) {
	now := f.view.Load()
	if _, changed := now.WithPage(p); !changed && p.At <= now.At() {
		return
	}
	changed := false
	f.view.Update(func(v mirror.View) mirror.View {
		v, changed = v.WithPage(p)
		return v
	})
	if changed {
		f.changes.Inc()
		f.log.WithFields(log.Fields{"from": from, "revision": p.At, "objects": len(p.Objects), "whole": p.Whole}).Debug("objects changed")
	}
}

// View returns the copy as it is.
func (f *Feed) View() mirror.View {
	return f.view.Load()
}

// fail notes a failed call.
func (f *Feed) fail(err error) {
	if !f.lost.Swap(true) {
		f.log.WithError(err).WithField("revision", f.View().At()).Warn("store lost")
	}
}

// loop lists and then watches, again from the list when the history is gone.
func (f *Feed) loop(ctx context.Context) {
	pause := backoffBase
	var at uint64
	listed := false
	for ctx.Err() == nil {
		began := time.Now()
		page, err := f.next(ctx, listed, at)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrForgotten):
			f.log.WithField("revision", at).Info("history is gone; listing again")
			listed = false
		case err != nil:
			f.fail(err)
			wait.For(ctx, pause)
			pause = min(2*pause, backoffMax)
			continue
		default:
			f.succeed(page)
			listed, at = true, max(at, page.At)
			pause = backoffBase
		}
		wait.For(ctx, f.settings.Pace-time.Since(began))
	}
}

// next lists or watches once.
func (f *Feed) next(ctx context.Context, listed bool, at uint64) (mirror.Page, error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return f.source.List(ctx)
	}
	patience := watchWait
	if f.lost.Load() {
		patience = backoffMax
	}
	ctx, cancel := context.WithTimeout(ctx, patience+callTimeout)
	defer cancel()
	return f.source.Watch(ctx, at, patience)
}

// succeed takes a page of the store.
func (f *Feed) succeed(p mirror.Page) {
	now := time.Since(f.began)
	f.heard.Store(int64(now))
	if f.lost.Load() {
		f.returned.Store(int64(now))
		f.lost.Store(false)
		f.log.WithField("revision", p.At).Info("store is back")
	}
	f.Take(p, "store")
}
