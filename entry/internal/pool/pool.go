package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/flow"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/internal/engine"
	"github.com/VictoriaMetrics/metrics"
)

const (
	reconcileInterval  = 250 * time.Millisecond
	pollInterval       = 1500 * time.Millisecond // pollInterval is the interval between polls of one target.
	pollTimeout        = time.Second
	pollsPerCacheRead  = 4 // pollsPerCacheRead is the number of polls of which one reads cache events too.
	minTargetsPerModel = 3 // minTargetsPerModel allows two targets to fail.
	missesToSuspect    = 2 // missesToSuspect is the number of missed reports in a row that make a target suspect.
)

// Source provides the configuration that declares the targets.
type Source interface {
	// Snapshot returns the current snapshot, which may be stale.
	Snapshot() *conf.Snapshot
}

// Settings configures a pool.
type Settings struct {
	Self   string // Self is this instance's name.
	Domain string // Domain is this instance's failure domain.
	Budget int    // Budget is the number of engines to watch, divided evenly among the models.
}

// Pool watches targets and chooses among them; it is safe for concurrent use.
type Pool struct {
	*wait.Loop
	settings      Settings
	source        Source
	engines       engine.Client
	table         *cell.Cell[table]
	reportsMissed *metrics.Counter

	// Only the loop uses these.
	lastPolls          map[string]time.Time // lastPolls maps a target's name to the time of its last poll.
	pollCounts         map[string]int       // pollCounts maps a target's name to the number of its polls.
	reconciledRevision conf.Revision        // reconciledRevision is the revision that the table was last updated to.
}

// New returns a pool that watches the targets of a source and registers its metrics in the set.
func New(s Settings, source Source, engines engine.Client, set *metrics.Set) *Pool {
	p := &Pool{
		settings:      s,
		source:        source,
		engines:       engines,
		table:         cell.New(table{}),
		reportsMissed: set.GetOrCreateCounter("bramleywharf_target_reports_missed_total"),
		lastPolls:     make(map[string]time.Time),
		pollCounts:    make(map[string]int),
	}
	set.NewGauge("bramleywharf_targets_watched", func() float64 { return float64(len(p.table.Load().names)) })
	p.Loop = wait.Start(p.loop)
	return p
}

// Find returns a declared target by name, watched or not.
func (p *Pool) Find(name string) (route.Candidate, bool) {
	if w, ok := p.table.Load().targets[name]; ok {
		return w.candidate(""), true
	}
	for _, t := range p.source.Snapshot().Targets() {
		if t.Name == name {
			return route.Candidate{Name: t.Name, Address: t.Address, Domain: t.Domain, Slots: t.Slots}, true
		}
	}
	return route.Candidate{}, false
}

// Free returns the free slots for a model on watched engines that are not suspect. Slots count as taken by an engine's
// last report or by this instance's own generations, whichever are more.
func (p *Pool) Free(model string) int {
	freeSlots := 0
	for _, w := range p.table.Load().targets {
		if !w.isSuspect && w.acceptsModel(model) {
			freeSlots += max(0, w.freeSlots())
		}
	}
	return freeSlots
}

// Hold counts a generation on a target until release is called.
func (p *Pool) Hold(name string) (release func()) {
	w, ok := p.table.Load().targets[name]
	if !ok {
		return func() {}
	}
	w.ownGenerations.Add(1)
	return func() { w.ownGenerations.Add(-1) }
}

// Pick chooses a watched target outside avoid for a generation; it returns false if there is none.
func (p *Pool) Pick(spec flow.Spec, avoid map[string]bool) (route.Candidate, bool) {
	prefix := Prefix(spec.Prompt)
	t := p.table.Load()
	var candidates []route.Candidate
	for _, name := range t.names {
		if w := t.targets[name]; w.accepts(spec.Model, spec.Adapter, spec.Version) {
			candidates = append(candidates, w.candidate(prefix))
		}
	}
	index := route.Choose(route.Balanced{Domain: p.settings.Domain, Draw: rand.Uint64()}, candidates, avoid)
	if index < 0 {
		return route.Candidate{}, false
	}
	chosen := candidates[index]
	if chosen.CachedPrefix == 0 {
		p.updateTarget(chosen.Name, func(w watchedTarget) watchedTarget {
			w.cacheEstimate = w.cacheEstimate.withRouted(prefix)
			return w
		})
	}
	return chosen, true
}

// Services returns the targets of a plain service that take new calls, those in this instance's failure domain first.
func (p *Pool) Services(service string) []route.Candidate {
	var candidates []route.Candidate
	for _, t := range p.source.Snapshot().Targets() {
		if t.Service == service && !t.Leaving {
			candidates = append(candidates, route.Candidate{Name: t.Name, Address: t.Address, Domain: t.Domain})
		}
	}
	slices.SortStableFunc(candidates, func(a, b route.Candidate) int {
		return p.domainDistance(a) - p.domainDistance(b)
	})
	return candidates
}

// Suspect marks a target as suspect until its next report.
func (p *Pool) Suspect(name string) {
	p.updateTarget(name, func(w watchedTarget) watchedTarget {
		w.isSuspect = true
		return w
	})
}

// Watched returns the watched targets, for the status page.
func (p *Pool) Watched() []route.Candidate {
	t := p.table.Load()
	watched := make([]route.Candidate, 0, len(t.names))
	for _, name := range t.names {
		watched = append(watched, t.targets[name].candidate(""))
	}
	return watched
}

// updateTarget replaces the state of a target, if it is watched.
func (p *Pool) updateTarget(name string, update func(watchedTarget) watchedTarget) {
	p.table.Update(func(t table) table {
		w, ok := t.targets[name]
		if !ok {
			return t
		}
		return t.withTarget(update(w))
	})
}

// domainDistance returns 0 for a candidate in this instance's failure domain and 1 for others.
func (p *Pool) domainDistance(c route.Candidate) int {
	if c.Domain == p.settings.Domain {
		return 0
	}
	return 1
}

// loop reconciles the table with the configuration and polls the targets until the context ends.
func (p *Pool) loop(ctx context.Context) {
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		p.reconcile()
		p.pollDue(ctx, &group)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// poll reads the load of a target and, if asked to, its cache events after a sequence number.
func (p *Pool) poll(ctx context.Context, t conf.Target, withCacheEvents bool, afterSequence int) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.engines.Load(ctx, t.Address)
	if err != nil {
		p.reportsMissed.Inc()
		p.updateTarget(t.Name, watchedTarget.withMissedReport)
		return
	}
	var events []engine.CacheEvent
	if withCacheEvents {
		events, _ = p.engines.CacheEvents(ctx, t.Address, afterSequence)
	}
	p.updateTarget(t.Name, func(w watchedTarget) watchedTarget { return w.withReport(load, events) })
}

// pollDue starts a poll of each target whose last poll is long enough ago.
func (p *Pool) pollDue(ctx context.Context, group *sync.WaitGroup) {
	now := time.Now()
	t := p.table.Load()
	for _, name := range t.names {
		if _, isKnown := p.lastPolls[name]; !isKnown {
			p.lastPolls[name] = now.Add(-rand.N(pollInterval)) // A random first delay spreads the polls.
		}
		if now.Sub(p.lastPolls[name]) < pollInterval {
			continue
		}
		p.lastPolls[name] = now
		w := t.targets[name]
		p.pollCounts[name]++
		withCacheEvents := p.pollCounts[name]%pollsPerCacheRead == 1
		group.Go(func() { p.poll(ctx, w.target, withCacheEvents, w.cacheEstimate.lastSequence) })
	}
}

// reconcile updates the table to the targets that this instance should watch, if the configuration changed.
func (p *Pool) reconcile() {
	snapshot := p.source.Snapshot()
	if snapshot.Revision() == p.reconciledRevision {
		return
	}
	p.reconciledRevision = snapshot.Revision()
	targetsToWatch := p.targetsToWatch(snapshot)
	p.table.Update(func(old table) table {
		next := table{targets: make(map[string]watchedTarget, len(targetsToWatch))}
		for _, t := range targetsToWatch {
			w, ok := old.targets[t.Name]
			if !ok {
				w = watchedTarget{ownGenerations: new(atomic.Int64), slots: t.Slots}
			}
			w.target = t
			next.targets[t.Name] = w
			next.names = append(next.names, t.Name)
		}
		slices.Sort(next.names)
		return next
	})
}

// targetsToWatch returns the engines to watch: for each model, a stable subset spread over failure domains.
func (p *Pool) targetsToWatch(snapshot *conf.Snapshot) []conf.Target {
	placesByModel := make(map[string][]route.Place)
	targetsByName := make(map[string]conf.Target)
	for _, t := range snapshot.Targets() {
		targetsByName[t.Name] = t
		for _, grant := range t.Models {
			model, _, _ := conf.ParseGrant(grant)
			placesByModel[model] = append(placesByModel[model], route.Place{Name: t.Name, Domain: t.Domain})
		}
	}
	targetsPerModel := max(minTargetsPerModel, p.settings.Budget/max(1, len(placesByModel)))
	chosen := make(map[string]bool)
	for model, places := range placesByModel {
		for _, name := range route.Spread(p.settings.Self+"/"+model, p.settings.Domain, places, targetsPerModel) {
			chosen[name] = true
		}
	}
	var targetsToWatch []conf.Target
	for name := range chosen {
		targetsToWatch = append(targetsToWatch, targetsByName[name])
	}
	return targetsToWatch
}

// withMissedReport returns the target after a failed poll.
func (w watchedTarget) withMissedReport() watchedTarget {
	w.missedReports++
	if w.missedReports >= missesToSuspect {
		w.isSuspect = true
	}
	return w
}

// withReport returns the target after a successful poll, which clears its suspicion.
func (w watchedTarget) withReport(load engine.Load, events []engine.CacheEvent) watchedTarget {
	w.missedReports = 0
	w.isSuspect = false
	w.reportedLoad = load.Running + load.Waiting
	w.isDraining = load.Leaving
	if load.Slots > 0 {
		w.slots = load.Slots
	}
	w.cacheEstimate = w.cacheEstimate.withEvents(events)
	return w
}
