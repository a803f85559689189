package feed

import (
	"cmp"
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
	// watcherCount is the number of instances that watch the store for the whole fleet; one may fail at any time.
	watcherCount = 2
	// watchWait is how long one watch waits for a change. A store that dropped its history leaves watches without
	// an answer, and changes have to be applied within 2 s.
	watchWait = 700 * time.Millisecond
	// callTimeout is how long a list goes on without a byte from the store, and a watch beyond its wait.
	callTimeout = 600 * time.Millisecond
	// maxCallTime bounds a call whose bytes go on coming; a response of 8 MB takes 6.7 s at 10 Mbit/s.
	maxCallTime = 8 * time.Second
	// backoffBase is the delay after the first failed call.
	backoffBase = 150 * time.Millisecond
	// backoffStandby is the delay of the instances that take over last. It is long since failed calls are billed
	// too, and since the others notice the return of the store, unless only they are cut off from it.
	backoffStandby = 2400 * time.Millisecond
	// backoffMax bounds the delay of all others, so that the return of the store is noticed well within 2 s.
	backoffMax = 600 * time.Millisecond
	// electionInterval is the time between two checks whether this instance has to query the store.
	electionInterval = 100 * time.Millisecond
	// takeoverTime is how long an instance that took over goes on after it was last elected.
	takeoverTime = 2500 * time.Millisecond
	// takeoverAgeFew is the age of the copy from which twice as many instances query the store. In a small fleet
	// updates pass from the watchers to all others within 1.3 s.
	takeoverAgeFew = 1400 * time.Millisecond
	// takeoverAgeQuarter is the age from which a quarter of the fleet does so, and at least eight instances.
	takeoverAgeQuarter = 1700 * time.Millisecond
	// takeoverAgeAll is the age from which all instances do so.
	takeoverAgeAll = 2200 * time.Millisecond
	// delayPerLevel is added to these ages for each level of pulls after the first.
	delayPerLevel = 400 * time.Millisecond
	// unreachableAge is the age from which the store counts as unreachable. Entries expire after three missed
	// heartbeats of 1.2 s, and failover from lost watchers takes less than this.
	unreachableAge = 3 * time.Second
	// settleTime is how long entries may still be missing after the store is reachable again.
	settleTime = 2 * time.Second
	// missingGrace is how long an object that the view lacks counts as present while it may only have expired: one
	// heartbeat and a little more. With the propagation delay of updates it stays below the 2 s within which a target that
	// left must get no new work.
	missingGrace = 1500 * time.Millisecond
)

// ErrForgotten is returned by Watch when the store has dropped the history after the revision.
var ErrForgotten = errors.New("store no longer holds the history after this revision")

// Source reads objects of one kind from the store; it records the progress of its calls with wait.Progress.
type Source interface {
	// List returns all objects.
	List(ctx context.Context) (mirror.Page, error)
	// ListStale returns all objects as of some seconds ago at most; it is billed at a fraction of List.
	ListStale(ctx context.Context) (mirror.Page, error)
	// Watch returns the changes after a revision; it waits for the first one for at most the given time.
	Watch(ctx context.Context, after uint64, wait time.Duration) (mirror.Page, error)
	// Era returns the latest era that a response of the store has shown, also one to a failed call.
	Era() uint64
}

// Duties is the fleet as a feed uses it: it elects the instances that query the store.
type Duties interface {
	// Elected reports whether this instance is one of the count instances that act in a role for the whole fleet.
	Elected(role string, count int) bool
	// Push notifies other members of a change at once.
	Push()
	// Size returns the number of instances.
	Size() int
}

// Settings configures a feed.
type Settings struct {
	Kind string        // Kind is the kind of the objects to follow.
	With string        // With names the kind whose watchers follow this one too; if empty, the feed has watchers of its own.
	Pace time.Duration // Pace is the least time between the starts of two calls, since each is billed.
	// Urgent makes other members pull at once when an object has changed, for kinds that change rarely. In a small fleet
	// all kinds are urgent.
	Urgent bool
}

// Feed keeps a copy of all objects of one kind.
type Feed struct {
	*wait.Loop
	settings    Settings
	store       Source
	log         log.Interface
	view        *cell.Cell[mirror.View]
	fleet       atomic.Pointer[Duties]
	changes     *metrics.Counter
	startTime   time.Time
	confirmedAt atomic.Int64 // confirmedAt is when the view last matched the store, in nanoseconds since startTime.
	recoveredAt atomic.Int64 // recoveredAt is the time of the first confirmation after an outage, likewise.
	restoredAt  atomic.Int64 // restoredAt is the time of the first list of a later era, likewise.
	// learntEra is the latest era that peers have shown; objects of an earlier one are out of date.
	learntEra atomic.Uint64
}

// New returns a feed that lists all objects once and then watches the store whenever this instance is elected to.
func New(s Settings, store Source, logger log.Interface, set *metrics.Set) *Feed {
	f := &Feed{
		settings:  s,
		store:     store,
		log:       logger.WithField("kind", s.Kind),
		view:      cell.New(mirror.View{}),
		changes:   set.GetOrCreateCounter(`bramleywharf_feed_changes_total{kind="` + s.Kind + `"}`),
		startTime: time.Now(),
	}
	f.recoveredAt.Store(int64(-settleTime))
	f.restoredAt.Store(int64(-settleTime))
	set.NewGauge(`bramleywharf_feed_revision{kind="`+s.Kind+`"}`, func() float64 { return float64(f.View().Revision()) })
	set.NewGauge(`bramleywharf_feed_age_seconds{kind="`+s.Kind+`"}`, func() float64 { return f.Age().Seconds() })
	f.Loop = wait.Start(f.loop)
	return f
}

// Age returns the time since the view was last known to match the store, from this or any other instance's calls.
func (f *Feed) Age() time.Duration {
	return time.Since(f.startTime) - time.Duration(f.confirmedAt.Load())
}

// Assign sets the fleet that elects the instances to query the store; until then this one queries it.
func (f *Feed) Assign(members Duties) {
	f.fleet.Store(&members)
}

// Changed returns a channel that is closed when the next object changes; a new revision alone does not close it.
func (f *Feed) Changed() <-chan struct{} {
	return f.view.Changed()
}

// Era returns the latest era of the store that this instance knows of; the view may still be of an earlier one.
func (f *Feed) Era() uint64 {
	return max(f.learntEra.Load(), f.store.Era())
}

// Grace returns how long an object that the view lacks still counts as present; 0 means that it is removed. An object
// that a restored copy lacks may have been written after the copy was taken, and is written again by its owner.
func (f *Feed) Grace() time.Duration {
	switch {
	case f.Settled():
		return 0
	case time.Since(f.startTime)-time.Duration(f.restoredAt.Load()) < settleTime:
		return settleTime
	default:
		return missingGrace
	}
}

// Kind returns the kind of the objects.
func (f *Feed) Kind() string {
	return f.settings.Kind
}

// role returns the role in which instances are elected to query the store.
func (f *Feed) role() string {
	return "feed/" + cmp.Or(f.settings.With, f.settings.Kind)
}

// Learn takes the era that a peer knows of.
func (f *Feed) Learn(era uint64) {
	cell.Raise(&f.learntEra, era)
}

// Settled reports whether an object that the view lacks is removed, and did not only expire while the store was
// unreachable.
func (f *Feed) Settled() bool {
	return f.Age() < unreachableAge && time.Since(f.startTime)-time.Duration(f.recoveredAt.Load()) >= settleTime
}

// Take merges a page from the store or a peer into the view. A page without a revision holds single objects that this
// instance has stored; the view then still lacks what else has changed. It returns false, and leaves the view as it is, if the page
// is of an earlier era than the latest one, or holds changes of an era that the view has not entered by a list.
func (f *Feed) Take(p mirror.Page, from string) bool {
	f.Learn(p.Era)
	if !f.accepts(p) {
		return false
	}
	changed, accepted := false, false
	f.view.UpdateNotify(func(v mirror.View) (next mirror.View, _ bool) {
		next, changed = v.WithPage(p)
		accepted = next.Era() == p.Era
		if next.Era() != v.Era() && v.Revision() > 0 {
			f.recordRestore(v, next)
		}
		return next, changed
	})
	if changed {
		f.changes.Inc()
		f.log.WithFields(log.Fields{"from": from, "revision": p.Revision, "objects": len(p.Objects), "whole": p.Complete}).
			Debug("objects changed")
		if members := f.fleet.Load(); members != nil && (f.settings.Urgent || f.inSmallFleet()) {
			(*members).Push()
		}
	}
	return accepted
}

// accepts reports whether a page is of the latest known era and can be merged into the view.
func (f *Feed) accepts(p mirror.Page) bool {
	return p.Era >= f.Era() && (p.Complete || p.Era == f.View().Era())
}

// recordRestore records that the store came back from a copy, before the view of the new era is in use.
func (f *Feed) recordRestore(old, next mirror.View) {
	now := int64(time.Since(f.startTime))
	f.recoveredAt.Store(now)
	f.restoredAt.Store(now)
	f.log.WithFields(log.Fields{"era": next.Era(), "old-era": old.Era(), "revision": next.Revision(), "old-revision": old.Revision()}).
		Info("store came back from a copy; objects are those of a new list")
}

// View returns the current copy of the objects.
func (f *Feed) View() mirror.View {
	return f.view.Load()
}

// Confirm records that the view matched the store the given time ago.
func (f *Feed) Confirm(age time.Duration) {
	now := time.Since(f.startTime)
	asOf := now - age
	for {
		previous := f.confirmedAt.Load()
		if int64(asOf) <= previous {
			return
		}
		if !f.confirmedAt.CompareAndSwap(previous, int64(asOf)) {
			continue
		}
		if gap := now - time.Duration(previous); gap > unreachableAge && f.View().Revision() > 0 {
			f.recoveredAt.Store(int64(now))
			f.log.WithFields(log.Fields{"revision": f.View().Revision(), "gap-ms": gap.Milliseconds()}).
				Info("objects are current again")
		}
		return
	}
}

// inSmallFleet reports whether the fleet is known and small.
func (f *Feed) inSmallFleet() bool {
	members := f.fleet.Load()
	return members != nil && (*members).Size() <= smallFleetSize
}

// shouldQuery reports whether this instance has to query the store, and returns the end of its takeover, which it
// extends while this instance is elected to take over.
func (f *Feed) shouldQuery(takeoverUntil time.Time) (bool, time.Time) {
	members := f.fleet.Load()
	if members == nil {
		return true, takeoverUntil
	}
	role := f.role()
	if (*members).Elected(role, watcherCount) {
		return true, takeoverUntil
	}
	now := time.Now()
	fleetSize := (*members).Size()
	age := f.Age() - time.Duration(pullLevels(fleetSize)-1)*delayPerLevel
	if (*members).Elected(role, queryingCount(age, fleetSize)) {
		if now.After(takeoverUntil) {
			f.log.WithFields(log.Fields{"age-ms": age.Milliseconds(), "revision": f.View().Revision()}).
				Info("objects are stale; this instance queries the store as well")
		}
		return true, now.Add(takeoverTime)
	}
	return now.Before(takeoverUntil), takeoverUntil
}

// queryingCount returns how many instances of a fleet query the store when the copy has the given age.
func queryingCount(age time.Duration, fleetSize int) int {
	switch {
	case age > takeoverAgeAll:
		return fleetSize
	case age > takeoverAgeQuarter:
		return takeoverCount(fleetSize)
	case age > takeoverAgeFew:
		return 2 * watcherCount
	default:
		return watcherCount
	}
}

// takeoverCount returns how many instances of a fleet query the store when the first to take over did not reach it.
func takeoverCount(fleetSize int) int {
	return max(4*watcherCount, fleetSize/4)
}

// pullLevels returns the largest number of pulls that pass an update from a watcher to any instance of a fleet.
func pullLevels(fleetSize int) int {
	levels := 1
	for reached := watcherCount * fanOut; reached < fleetSize; reached *= fanOut {
		levels++
	}
	return levels
}

// loop lists once, then watches whenever this instance is elected to; it lists again when the history is gone.
func (f *Feed) loop(ctx context.Context) {
	w := watcher{feed: f, backoff: backoffBase}
	for ctx.Err() == nil {
		var active bool
		active, w.takeoverUntil = f.shouldQuery(w.takeoverUntil)
		if !active && w.listed {
			w.wasIdle = true
			wait.Sleep(ctx, electionInterval)
			continue
		}
		w.queryOnce(ctx)
	}
}
