package picker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/health"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/loads"
	"bramleywharf.example/entry/place"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// expiryCheckInterval is the reconcile interval while targets or successors are held that expire without an update.
const expiryCheckInterval = 250 * time.Millisecond

// Source provides the declared targets.
type Source interface {
	// Changed returns a channel that closes at the next change.
	Changed() <-chan struct{}
	// Grace returns how long a target that is missing from the list is still used; 0 means that it is gone.
	Grace() time.Duration
	// Targets returns all declared targets whose declarations can be decoded.
	Targets() []site.Target
}

// targetState is the state that this instance keeps for one start of a target.
type targetState struct {
	target       site.Target                // target is the declaration that the state was created for.
	inFlight     atomic.Int64               // inFlight counts this instance's running requests, streams included.
	streams      atomic.Int64               // streams counts this instance's running streams.
	unreadTokens atomic.Int64               // unreadTokens counts the prompt tokens still to be read.
	aliveAt      atomic.Uint64              // aliveAt is that of Pick.AliveAt.
	replicas     atomic.Int64               // replicas counts the replicas of this instance's streams.
	remoteLoad   atomic.Pointer[route.Load] // remoteLoad is the sum of what all other instances reported.
	healthStatus atomic.Pointer[health.Estimate]
	pause        atomic.Pointer[health.Pause] // pause is the last time for which the target refuses requests.
}

// targetTable is the set of targets with the state of each; it is never changed after construction.
type targetTable struct {
	targetSet *site.TargetSet
	states    []*targetState     // states holds the state of each target, in the order of targetSet.All.
	available map[string][]entry // available maps services to their targets that are not draining.
}

// entry is a target and the state that this instance keeps for it.
type entry struct {
	*site.Target
	state *targetState
}

// newTargetTable returns a table of targets. A target that was not restarted keeps its state of the previous table.
func newTargetTable(previous targetTable, targetSet *site.TargetSet) targetTable {
	targets := targetSet.All()
	next := targetTable{targetSet: targetSet, states: make([]*targetState, len(targets)), available: make(map[string][]entry)}
	old, position := previous.targetSet.All(), 0
	for i := range targets {
		target := &targets[i]
		for position < len(old) && old[position].Name < target.Name {
			position++
		}
		if position < len(old) && target.IsSameStart(previous.states[position].target) {
			next.states[i] = previous.states[position]
		} else {
			next.states[i] = newTargetState(*target)
		}
		if !target.Leaving {
			next.available[target.Service] = append(next.available[target.Service], entry{Target: target, state: next.states[i]})
		}
	}
	return next
}

// entry returns the entry of a target by name.
func (t targetTable) entry(name string) (entry, bool) {
	i, ok := t.targetSet.Index(name)
	if !ok {
		return entry{}, false
	}
	return entry{Target: &t.targetSet.All()[i], state: t.states[i]}, true
}

// newTargetState returns the state of a target that nothing is known of yet.
func newTargetState(target site.Target) *targetState {
	s := &targetState{target: target}
	s.healthStatus.Store(&health.Estimate{})
	s.pause.Store(&health.Pause{})
	s.remoteLoad.Store(&route.Load{})
	return s
}

// Picker tracks the targets and chooses among them.
type Picker struct {
	*wait.Loop
	source       Source
	onRemoved    func(address string) // onRemoved is called for each target that was removed, restarted or moved.
	log          log.Interface
	targetTable  *cell.Cell[targetTable]
	startedAt    time.Time
	targetsLost  *metrics.Counter
	placedBySize *metrics.Counter
	domains      loads.Domains                         // domains holds the failure domains that have lost targets.
	localUsage   atomic.Pointer[func() []wire.Usage]   // localUsage returns the counts of this instance's requests.
	ownRollouts  atomic.Pointer[func() []wire.Rollout] // ownRollouts returns what this instance has seen of versions.
	successors   *cell.Cell[site.Successors]           // successors holds targets found before they were listed.
	departures   *cell.Cell[site.Departures]           // departures holds targets that have ended or are leaving.
	sumsStale    atomic.Bool                           // sumsStale tells that sumReports must run before the next use.
	summedAt     atomic.Int64                          // summedAt is when sumReports ran last, in nanoseconds since startedAt.
	prompts      cell.Keyed[route.Prompts]             // prompts holds what was learnt of the prompts of each service.
	reports      *loads.Book                           // reports holds the load reports of other instances.
	places       *place.Places                         // places holds the targets of sessions.
	reconcileMu  sync.Mutex

	mu          sync.Mutex
	instance    string                // instance is the name under which this instance reports its load.
	sequence    uint64                // sequence is that of the last load report.
	remoteUsage map[string]wire.Usage // remoteUsage maps services to the recent requests of other instances.
}

// New returns a picker that follows source and calls onRemoved with the address of each target that was removed,
// restarted or moved.
func New(source Source, onRemoved func(address string), logger log.Interface, set *metrics.Set) *Picker {
	p := &Picker{
		source:       source,
		onRemoved:    onRemoved,
		log:          logger,
		targetTable:  cell.New(targetTable{targetSet: &site.TargetSet{}}),
		successors:   cell.New(site.Successors{}),
		departures:   cell.New(site.Departures{}),
		startedAt:    time.Now(),
		reports:      loads.New(),
		places:       place.New(),
		targetsLost:  set.GetOrCreateCounter("bramleywharf_targets_lost_total"),
		placedBySize: set.GetOrCreateCounter("bramleywharf_streams_placed_by_size_total"),
	}
	set.NewGauge("bramleywharf_targets", func() float64 { return float64(p.targetTable.Load().targetSet.Len()) })
	set.NewGauge("bramleywharf_targets_suspect", p.suspectCount)
	p.Loop = wait.Start(p.loop)
	return p
}

// loop reconciles the table at each change of the source or of the successors, and periodically while entries are held
// that expire.
func (p *Picker) loop(ctx context.Context) {
	for {
		changed, found := p.source.Changed(), p.successors.Changed()
		p.Reconcile()
		var expiryCheck <-chan time.Time
		if p.targetTable.Load().targetSet.HasMissing() || p.successors.Load().Len() > 0 {
			expiryCheck = time.After(expiryCheckInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-found:
		case <-expiryCheck:
		}
	}
}

// Reconcile updates the table from the declared targets. The picker does so at each change of its source; a caller that
// needs the targets of the source at once does not have to wait for that.
func (p *Picker) Reconcile() {
	p.reconcileMu.Lock()
	defer p.reconcileMu.Unlock()
	grace := p.source.Grace()
	targets := p.source.Targets()
	p.successors.UpdateNotify(func(s site.Successors) (site.Successors, bool) {
		targets, s = s.Apply(targets, time.Now(), grace == 0)
		return s, false
	})
	targets = p.departures.Load().Apply(targets)
	var old, next *site.TargetSet
	p.targetTable.Update(func(t targetTable) targetTable {
		old, next = t.targetSet, t.targetSet.WithTargets(targets, time.Now(), grace)
		return newTargetTable(t, next)
	})
	p.sumsStale.Store(true) // New targets have no remote load yet.
	changes := next.ChangesSince(old)
	if len(changes.Ended) > 0 {
		p.departures.Update(func(d site.Departures) site.Departures { return d.WithEnded(changes.Ended, time.Now()) })
	}
	for _, ended := range changes.Ended {
		p.onRemoved(ended.Address)
		p.logTarget(ended).Info("target was removed, restarted or moved")
	}
	if old.Len() > 0 {
		for _, added := range changes.Added {
			p.logTarget(added).Info("target was added")
		}
	}
	for _, draining := range changes.Draining {
		p.logTarget(draining).Info("target is draining")
	}
}

// logTarget returns a logger with the fields of a target.
func (p *Picker) logTarget(t site.Target) log.Interface {
	return p.log.WithFields(log.Fields{"target": t.Name, "address": t.Address, "service": t.Service, "domain": t.Domain, "revision": t.Revision})
}

// suspectCount returns the number of suspect targets.
func (p *Picker) suspectCount() (count float64) {
	now := time.Now()
	for _, s := range p.targetTable.Load().states {
		if s.healthStatus.Load().IsSuspect(now) {
			count++
		}
	}
	return count
}

// updateHealth replaces the health of a target by the result of change, which may be called more than once.
func (s *targetState) updateHealth(change func(health.Estimate) health.Estimate) {
	cell.TryUpdate(&s.healthStatus, func(e health.Estimate) (health.Estimate, bool) { return change(e), true })
}
