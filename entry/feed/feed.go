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
	watchers    = 2                       // watchers is the number of instances that ask the store for all; one may be lost at any time.
	watchWait   = 700 * time.Millisecond  // watchWait is how long one watch waits; a store that dropped its history leaves watches without an answer, and changes have to be in force in 2 s.
	callTimeout = 600 * time.Millisecond  // callTimeout bounds a list, and a watch beyond its wait.
	backoffBase = 150 * time.Millisecond  // backoffBase is the first wait after a failed call.
	backoffRest = 2400 * time.Millisecond // backoffRest is the wait of those that step in last: the others notice the return, unless they alone are cut off, and failed calls are paid for as well.
	backoffMax  = 600 * time.Millisecond  // backoffMax bounds that wait, so that a store that returns is noticed well within two seconds.
	dutyPause   = 100 * time.Millisecond  // dutyPause is the time between two looks at one's duty.
	dutyKept    = 2500 * time.Millisecond // dutyKept is how long an instance that stepped in goes on.
	stepInFirst = 1400 * time.Millisecond // stepInFirst is the age from which more instances ask the store; in a small fleet news passes from those that do within 1.3 s.
	stepInMore  = 1700 * time.Millisecond // stepInMore is the age from which a quarter of the fleet does, and eight at the least.
	stepInAll   = 2200 * time.Millisecond // stepInAll is the age from which all do.
	perLevel    = 400 * time.Millisecond  // perLevel is added to both for each level of pulls between an instance and those that ask.
	lostAfter   = 3 * time.Second         // lostAfter is the age from which the store counts as lost; entries lapse after three heartbeats of 1.2 s, and the loss of those that ask is over by then.
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

// Duties tells which instances ask the store for all.
type Duties interface {
	// Elected tells whether this instance is one of a few that act for all.
	Elected(role string, count int) bool
	// Push tells other members at once that there is news.
	Push()
	// Size returns the number of instances.
	Size() int
}

// Settings configures a feed.
type Settings struct {
	Kind string
	Pace time.Duration // Pace is the least time between two watches, since each is paid for.
}

// Feed follows one kind of stored objects.
type Feed struct {
	*wait.Loop
	settings Settings
	source   Source
	log      log.Interface
	view     *cell.Cell[mirror.View]
	duties   atomic.Pointer[Duties]
	changes  *metrics.Counter
	began    time.Time
	asOf     atomic.Int64 // asOf is when the view was known to be the store's, in nanoseconds since began.
	returned atomic.Int64 // returned is when that was known again after a loss.
}

// New returns a feed that lists once and follows its source when its duties say so.
func New(s Settings, source Source, logger log.Interface, set *metrics.Set) *Feed {
	f := &Feed{
		settings: s,
		source:   source,
		log:      logger.WithField("kind", s.Kind),
		view:     cell.New(mirror.View{}),
		changes:  set.GetOrCreateCounter(`bramleywharf_feed_changes_total{kind="` + s.Kind + `"}`),
		began:    time.Now(),
	}
	f.returned.Store(int64(-settle))
	set.NewGauge(`bramleywharf_feed_revision{kind="`+s.Kind+`"}`, func() float64 { return float64(f.View().At()) })
	set.NewGauge(`bramleywharf_feed_age_seconds{kind="`+s.Kind+`"}`, func() float64 { return f.Age().Seconds() })
	f.Loop = wait.Start(f.loop)
	return f
}

// Age returns the time since the view was known to be the store's, by way of any instance.
func (f *Feed) Age() time.Duration {
	return time.Since(f.began) - time.Duration(f.asOf.Load())
}

// Assign tells the feed its duties; before that it asks the store itself.
func (f *Feed) Assign(d Duties) {
	f.duties.Store(&d)
}

// Changed returns a channel that closes at the next change.
func (f *Feed) Changed() <-chan struct{} {
	return f.view.Changed()
}

// Kind returns the kind that is followed.
func (f *Feed) Kind() string {
	return f.settings.Kind
}

// Settled tells whether what the view lacks is gone, and not only lapsed while the store was away.
func (f *Feed) Settled() bool {
	return f.Age() < lostAfter && time.Since(f.began)-time.Duration(f.returned.Load()) >= settle
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
		if d := f.duties.Load(); d != nil {
			(*d).Push()
		}
	}
}

// View returns the copy as it is.
func (f *Feed) View() mirror.View {
	return f.view.Load()
}

// Confirm notes that the view was the store's some time ago.
func (f *Feed) Confirm(age time.Duration) {
	now := time.Since(f.began)
	at := now - age
	for {
		before := f.asOf.Load()
		if int64(at) <= before {
			return
		}
		if !f.asOf.CompareAndSwap(before, int64(at)) {
			continue
		}
		if gap := now - time.Duration(before); gap > lostAfter && before > 0 {
			f.returned.Store(int64(now))
			f.log.WithFields(log.Fields{"revision": f.View().At(), "gap-ms": gap.Milliseconds()}).Info("store is heard of again")
		}
		return
	}
}

// duty tells whether this instance has to ask the store, and until when it goes on with it.
func (f *Feed) duty(kept time.Time) (bool, time.Time) {
	d := f.duties.Load()
	if d == nil {
		return true, kept
	}
	role := "feed/" + f.settings.Kind
	if (*d).Elected(role, watchers) {
		return true, kept
	}
	now := time.Now()
	size := (*d).Size()
	age := f.Age() - time.Duration(levels(size)-1)*perLevel
	if (*d).Elected(role, stepIn(age, size)) {
		if now.After(kept) {
			f.log.WithFields(log.Fields{"age-ms": age.Milliseconds(), "revision": f.View().At()}).Info("steps in to ask the store")
		}
		return true, now.Add(dutyKept)
	}
	return now.Before(kept), kept
}

// stepIn returns how many instances ask the store when what is known has an age.
func stepIn(age time.Duration, size int) int {
	switch {
	case age > stepInAll:
		return size
	case age > stepInMore:
		return more(size)
	case age > stepInFirst:
		return 2 * watchers
	default:
		return watchers
	}
}

// more returns how many instances ask the store at once where the few that always do cannot reach it.
func more(size int) int {
	return max(4*watchers, size/4)
}

// levels returns how often news is passed on until it has reached every instance of a fleet, at the most.
func levels(size int) int {
	count := 1
	for reached := watchers * fanOut; reached < size; reached *= fanOut {
		count++
	}
	return count
}

// loop lists and then watches while it is this instance's duty, again from the list when the history is gone.
func (f *Feed) loop(ctx context.Context) {
	s := asker{feed: f, pause: backoffBase}
	for ctx.Err() == nil {
		var onDuty bool
		onDuty, s.kept = f.duty(s.kept)
		if !onDuty && s.listed {
			s.idle = true
			wait.For(ctx, dutyPause)
			continue
		}
		s.step(ctx)
	}
}

// asker is what one feed remembers between its calls.
type asker struct {
	feed   *Feed
	at     uint64 // at is the revision to watch from.
	listed bool   // listed tells that at is known.
	idle   bool   // idle tells that others asked meanwhile.
	lost   bool   // lost tells that calls fail, so that one line is logged for a series.
	pause  time.Duration
	kept   time.Time // kept is until when a duty that was stepped into goes on.
}

// step makes one call and waits until the next may be made.
func (s *asker) step(ctx context.Context) {
	f := s.feed
	began := time.Now()
	if s.idle {
		s.idle = false
		s.at = max(s.at, f.View().At())
	}
	page, err := s.call(ctx)
	switch {
	case ctx.Err() != nil:
		return
	case errors.Is(err, ErrForgotten):
		f.log.WithField("revision", s.at).Info("history is gone; listing again")
		s.listed = false
		wait.For(ctx, f.settings.Pace-time.Since(began))
		return
	case err != nil:
		s.fail(err)
		wait.For(ctx, s.backoff())
		return
	}
	s.succeed(page, began)
	wait.For(ctx, f.settings.Pace-time.Since(began))
}

// call lists or watches once; a watch that gets no answer is followed by a list, since the history may be gone.
func (s *asker) call(ctx context.Context) (mirror.Page, error) {
	if !s.listed {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return s.feed.source.List(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	page, err := s.feed.source.Watch(ctx, s.at, watchWait)
	if err != nil {
		s.listed = false
	}
	return page, err
}

// backoff returns how long to wait after a failed call.
func (s *asker) backoff() time.Duration {
	f := s.feed
	if d := f.duties.Load(); d != nil && !(*d).Elected("feed/"+f.settings.Kind, more((*d).Size())) {
		return backoffRest
	}
	pause := s.pause
	s.pause = min(2*pause, backoffMax)
	return pause
}

// fail notes a failed call.
func (s *asker) fail(err error) {
	if !s.lost {
		s.lost = true
		s.feed.log.WithError(err).WithField("revision", s.at).Warn("store lost")
	}
}

// succeed takes a page of the store.
func (s *asker) succeed(p mirror.Page, began time.Time) {
	f := s.feed
	if s.lost {
		s.lost = false
		f.log.WithField("revision", p.At).Info("store answers")
	}
	s.pause = backoffBase
	asOf := began
	if s.listed {
		asOf = time.Now()
	}
	s.listed = true
	s.at = max(s.at, p.At)
	f.Confirm(time.Since(asOf))
	f.Take(p, "store")
}
