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
	watchers    = 3                       // watchers is the number of instances that watch the platform for all.
	stickyWatch = 30 * time.Second        // stickyWatch is how long an instance that stepped in goes on watching.
	watchWait   = 1500 * time.Millisecond // watchWait is how long one watch waits; its return shows that the platform lives.
	idlePause   = 300 * time.Millisecond  // idlePause is the mean time between two looks at one's role.
	backoffBase = 250 * time.Millisecond  // backoffBase is the first wait after a failed call.
	backoffMax  = 4 * time.Second         // backoffMax bounds the wait after failed calls.
	pullTimeout = time.Second             // pullTimeout bounds one pull from a peer.
	// StaleAfter is the age from which an instance without a quorum no longer knows what is in force.
	StaleAfter = 4 * time.Second
)

// stepIn holds from which age of the configuration how many instances watch, since those elected seem to be cut off.
func stepIn(age time.Duration) int {
	switch {
	case age < 2200*time.Millisecond:
		return watchers
	case age < 2500*time.Millisecond:
		return 4 * watchers
	case age < 2800*time.Millisecond:
		return 16 * watchers
	default:
		return math.MaxInt
	}
}

// ErrStale is returned while this instance cannot know what configuration is in force.
var ErrStale = errors.New("instance is cut off from the platform and from most peers")

// ErrEmpty is returned until the first configuration has been learnt.
var ErrEmpty = errors.New("instance has not learnt its configuration yet")

// Roles tells the controller its place in the fleet.
type Roles interface {
	// Elected tells whether this instance is one of a few that act for all.
	Elected(role string, count int) bool
	// Push tells other members at once that there is news.
	Push()
	// Quorum tells whether most known members are reached.
	Quorum() bool
}

// Watch keeps the configuration in force.
type Watch struct {
	*wait.Loop
	store    store.Store
	net      peer.Net
	roles    Roles
	log      log.Interface
	snapshot *cell.Cell[*conf.Snapshot]
	pulls    chan string
	updates  *metrics.Counter
	rejected *metrics.Counter

	mu   sync.Mutex
	asOf time.Time // asOf is the latest time at which the snapshot was known to be the platform's newest.
}

// New returns a controller that has not begun; Start begins it once its roles are known.
func New(platform store.Store, net peer.Net, logger log.Interface, set *metrics.Set) *Watch {
	w := &Watch{
		store:    platform,
		net:      net,
		log:      logger,
		snapshot: cell.New(conf.NewSnapshot()),
		pulls:    make(chan string, 1),
		updates:  set.GetOrCreateCounter("bramleywharf_config_updates_total"),
		rejected: set.GetOrCreateCounter("bramleywharf_config_objects_rejected_total"),
	}
	set.NewGauge("bramleywharf_config_revision", func() float64 { return float64(w.Revision()) })
	set.NewGauge("bramleywharf_config_age_seconds", func() float64 { return w.Age().Seconds() })
	return w
}

// Start begins to watch in a role.
func (w *Watch) Start(roles Roles) {
	w.roles = roles
	w.Loop = wait.Start(func(ctx context.Context) {
		var group sync.WaitGroup
		group.Go(func() { w.watchLoop(ctx) })
		group.Go(func() { w.pullLoop(ctx) })
		group.Wait()
	})
}

// Age returns the time since the snapshot was known to be the newest.
func (w *Watch) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asOf.IsZero() {
		return time.Hour
	}
	return time.Since(w.asOf)
}

// Current returns the snapshot in force, or an error while it cannot be known.
func (w *Watch) Current() (*conf.Snapshot, error) {
	s := w.snapshot.Load()
	if s.Revision() == 0 {
		return nil, ErrEmpty
	}
	if w.Age() > StaleAfter && !w.roles.Quorum() {
		return nil, ErrStale
	}
	return s, nil
}

// Handle answers a peer's pull.
func (w *Watch) Handle(p wire.PullConfig) wire.Message {
	s := w.snapshot.Load()
	page := wire.ConfigPage{Revision: uint64(s.Revision())}
	for _, e := range s.Entries(conf.Revision(p.After)) {
		page.Objects = append(page.Objects, wire.ConfigObject{
			Kind:     e.Key.Kind,
			Name:     e.Key.Name,
			Revision: uint64(e.Revision),
			Deleted:  e.Deleted,
			Value:    e.Raw,
		})
	}
	return page
}

// Heard takes what a peer says of its configuration.
func (w *Watch) Heard(address string, revision uint64, age time.Duration) {
	if revision > w.Revision() {
		select {
		case w.pulls <- address:
		default:
		}
		return
	}
	if revision == w.Revision() {
		w.confirm(time.Now().Add(-age))
	}
}

// Revision returns the revision in force here.
func (w *Watch) Revision() uint64 {
	return uint64(w.snapshot.Load().Revision())
}

// Snapshot returns the snapshot in force, however old.
func (w *Watch) Snapshot() *conf.Snapshot {
	return w.snapshot.Load()
}

// apply brings objects into force; the revision of the newest is the snapshot's.
func (w *Watch) apply(objects []store.Object) {
	entries, faults := decl.Entries(objects)
	for _, fault := range faults {
		w.rejected.Inc()
		w.log.WithError(fault).Error("configuration object is not used")
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
	w.log.WithField("revision", after.Revision()).Info("configuration is in force")
	w.roles.Push()
}

// confirm notes that the snapshot was the newest at a time.
func (w *Watch) confirm(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.asOf) {
		w.asOf = at
	}
}

// pull takes the configuration of a peer.
func (w *Watch) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := w.net.Ask(ctx, address, wire.PullConfig{After: w.Revision()})
	if err != nil {
		w.log.WithError(err).Debug("configuration cannot be pulled from a peer; another is next")
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

// pullLoop pulls from peers that have more.
func (w *Watch) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-w.pulls:
			w.pull(ctx, address)
		}
	}
}

// watchLoop watches the platform while this instance is elected or steps in.
func (w *Watch) watchLoop(ctx context.Context) {
	pause := backoffBase
	var sticky time.Time
	for ctx.Err() == nil {
		elected := w.roles.Elected("watch", watchers)
		if !elected && time.Now().After(sticky) && !w.roles.Elected("watch", stepIn(w.Age())) {
			wait.For(ctx, idlePause/2+rand.N(idlePause))
			continue
		}
		if err := w.watch(ctx); err != nil {
			wait.For(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, backoffMax)
			continue
		}
		pause = backoffBase
		if !elected && !time.Now().Before(sticky) {
			sticky = time.Now().Add(stickyWatch)
		}
	}
}

// watch waits once for changes at the platform.
func (w *Watch) watch(ctx context.Context) error {
	page, err := w.store.Changes(ctx, conf.Kinds(), w.Revision(), watchWait)
	if err != nil {
		return err
	}
	if len(page.Objects) > 0 {
		w.apply(page.Objects)
	}
	w.confirm(time.Now())
	return nil
}
