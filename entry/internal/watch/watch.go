package watch

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/decl"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	watcherCount      = 3                       // watcherCount is the number of instances that watch the platform for all.
	minWatchTime      = 30 * time.Second        // minWatchTime is how long an instance that took over keeps watching.
	longPollTimeout   = 1500 * time.Millisecond // longPollTimeout is when a long poll ends without changes.
	roleCheckInterval = 300 * time.Millisecond  // roleCheckInterval is the mean time between checks whether to watch.
	minBackoff        = 250 * time.Millisecond  // minBackoff is the mean delay after a first failed long poll.
	maxBackoff        = 4 * time.Second         // maxBackoff bounds the mean delay after repeated failures.
	pullTimeout       = time.Second             // pullTimeout bounds one pull from a peer.
	// StaleAfter is the age from which an instance without a quorum no longer uses its configuration.
	StaleAfter = 4 * time.Second
)

// watcherCountAt returns how many instances should watch the platform when the configuration has an age. The older it
// is, the more take over, because the elected ones seem to be cut off from the platform.
func watcherCountAt(age time.Duration) int {
	switch {
	case age < 2200*time.Millisecond:
		return watcherCount
	case age < 2500*time.Millisecond:
		return 4 * watcherCount
	case age < 2800*time.Millisecond:
		return 16 * watcherCount
	default:
		return math.MaxInt
	}
}

// ErrStale is returned while this instance cannot know whether its configuration is current.
var ErrStale = errors.New("instance is cut off from the platform and from most peers")

// ErrEmpty is returned until a first configuration has been received.
var ErrEmpty = errors.New("instance has not learnt its configuration yet")

// Roles tells the controller what this instance does in the fleet.
type Roles interface {
	// Elected tells whether this instance is one of the count members that have a role.
	Elected(role string, count int) bool
	// Push sends a heartbeat to some members at once, so that they learn of a new revision.
	Push()
	// Quorum tells whether most members that should be there are reachable.
	Quorum() bool
}

// Watch keeps the configuration up to date.
type Watch struct {
	*wait.Loop
	store           store.Store
	peers           peer.Client
	roles           Roles
	log             log.Interface
	snapshot        *cell.Cell[*conf.Snapshot]
	pullAddresses   chan string // pullAddresses takes the address of a peer that has a newer revision.
	updates         *metrics.Counter
	rejectedObjects *metrics.Counter

	mu          sync.Mutex
	currentAsOf time.Time // currentAsOf is the latest time at which the snapshot was known to be the newest.
}

// New returns a controller that Start must run, once the roles are known.
func New(platform store.Store, peers peer.Client, logger log.Interface, set *metrics.Set) *Watch {
	w := &Watch{
		store:           platform,
		peers:           peers,
		log:             logger,
		snapshot:        cell.New(conf.NewSnapshot()),
		pullAddresses:   make(chan string, 1),
		updates:         set.GetOrCreateCounter("bramleywharf_config_updates_total"),
		rejectedObjects: set.GetOrCreateCounter("bramleywharf_config_objects_rejected_total"),
	}
	set.NewGauge("bramleywharf_config_revision", func() float64 { return float64(w.Revision()) })
	set.NewGauge("bramleywharf_config_age_seconds", func() float64 { return w.Age().Seconds() })
	return w
}

// Start runs the controller.
func (w *Watch) Start(roles Roles) {
	w.roles = roles
	w.Loop = wait.Start(func(ctx context.Context) {
		var group sync.WaitGroup
		group.Go(func() { w.watchLoop(ctx) })
		group.Go(func() { w.pullLoop(ctx) })
		group.Wait()
	})
}

// Age returns the time since the snapshot was last known to be the newest; it is an hour if that never was the case.
func (w *Watch) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.currentAsOf.IsZero() {
		return time.Hour
	}
	return time.Since(w.currentAsOf)
}

// Current returns the snapshot, or an error while it is empty or cannot be known to be current.
func (w *Watch) Current() (*conf.Snapshot, error) {
	current := w.snapshot.Load()
	if current.Revision() == 0 {
		return nil, ErrEmpty
	}
	if w.Age() > StaleAfter && !w.roles.Quorum() {
		return nil, ErrStale
	}
	return current, nil
}

// Handle answers a peer that pulls the configuration.
func (w *Watch) Handle(request wire.PullConfig) wire.Message {
	current := w.snapshot.Load()
	page := wire.ConfigPage{Revision: uint64(current.Revision())}
	for _, e := range current.Entries(conf.Revision(request.After)) {
		page.Objects = append(page.Objects, wire.Object{
			Kind:     e.Key.Kind,
			Name:     e.Key.Name,
			Revision: uint64(e.Revision),
			Deleted:  e.Deleted,
			Value:    e.Raw,
		})
	}
	return page
}

// Heard takes the revision and age of a peer's configuration from a heartbeat. It requests a pull if the revision is
// newer; if it is the same, the snapshot was still current age ago.
func (w *Watch) Heard(address string, _, revision uint64, age time.Duration) {
	if revision > w.Revision() {
		select {
		case w.pullAddresses <- address:
		default:
		}
		return
	}
	if revision == w.Revision() {
		w.confirmCurrent(time.Now().Add(-age))
	}
}

// Era returns 0: this platform's store does not come back from a copy.
func (w *Watch) Era() uint64 {
	return 0
}

// Revision returns the revision of the snapshot.
func (w *Watch) Revision() uint64 {
	return uint64(w.snapshot.Load().Revision())
}

// Snapshot returns the snapshot, however old.
func (w *Watch) Snapshot() *conf.Snapshot {
	return w.snapshot.Load()
}

// apply applies objects to the snapshot, whose revision becomes that of the newest object.
func (w *Watch) apply(objects []store.Object) {
	entries, errs := decl.DecodeEntries(objects)
	for _, err := range errs {
		w.rejectedObjects.Inc()
		w.log.WithError(err).Error("invalid configuration object ignored")
	}
	var newest conf.Revision
	for _, o := range objects {
		newest = max(newest, conf.Revision(o.Revision))
	}
	before := w.Revision()
	after := w.snapshot.Update(func(s *conf.Snapshot) *conf.Snapshot { return s.WithChanges(newest, entries) })
	if uint64(after.Revision()) == before {
		return
	}
	w.updates.Inc()
	w.log.WithField("revision", after.Revision()).Info("configuration applied")
	w.roles.Push()
}

// confirmCurrent notes that the snapshot was current at a time.
func (w *Watch) confirmCurrent(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.currentAsOf) {
		w.currentAsOf = at
	}
}

// pullFrom pulls and applies the configuration changes that a peer has.
func (w *Watch) pullFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := w.peers.Call(ctx, address, wire.PullConfig{After: w.Revision()})
	if err != nil {
		w.log.WithError(err).Debug("cannot pull configuration from a peer; waiting for a heartbeat with a newer revision")
		return
	}
	page, ok := answer.(wire.ConfigPage)
	if !ok {
		return
	}
	objects := make([]store.Object, len(page.Objects))
	for i, o := range page.Objects {
		objects[i] = store.Object{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Deleted: o.Deleted, Value: o.Value}
	}
	w.apply(objects)
}

// pullLoop pulls from peers that have a newer revision.
func (w *Watch) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-w.pullAddresses:
			w.pullFrom(ctx, address)
		}
	}
}

// watchLoop watches the platform while this instance is elected or takes over from elected ones that seem cut off.
func (w *Watch) watchLoop(ctx context.Context) {
	backoff := minBackoff
	var watchUntil time.Time
	for ctx.Err() == nil {
		elected := w.roles.Elected("watch", watcherCount)
		if !elected && time.Now().After(watchUntil) && !w.roles.Elected("watch", watcherCountAt(w.Age())) {
			wait.Sleep(ctx, roleCheckInterval/2+rand.N(roleCheckInterval))
			continue
		}
		if err := w.pollPlatform(ctx); err != nil {
			wait.Sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if !elected && !time.Now().Before(watchUntil) {
			watchUntil = time.Now().Add(minWatchTime)
		}
	}
}

// pollPlatform makes one long poll for changes and applies them.
func (w *Watch) pollPlatform(ctx context.Context) error {
	page, err := w.store.Changes(ctx, conf.Kinds(), w.Revision(), longPollTimeout)
	if err != nil {
		return err
	}
	if len(page.Objects) > 0 {
		w.apply(page.Objects)
	}
	w.confirmCurrent(time.Now()) // An empty page, too, shows that the platform answers and has nothing newer.
	return nil
}
