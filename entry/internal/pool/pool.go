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
	reconcilePeriod = 250 * time.Millisecond  // reconcilePeriod is the time between two looks at the configuration.
	pollPeriod      = 1500 * time.Millisecond // pollPeriod is the time between two reports of one target.
	pollTimeout     = time.Second
	cacheEvery      = 4 // cacheEvery is the number of reports for each reading of cache events.
	leastSubset     = 3 // leastSubset is the number of engines watched for a model at the least, so that two may be lost.
	failsToSuspect  = 2 // failsToSuspect is the number of missed reports that make a target suspect.
)

// Source gives the configuration that names the targets.
type Source interface {
	// Snapshot returns the snapshot in force, however old.
	Snapshot() *conf.Snapshot
}

// Settings configures a pool.
type Settings struct {
	Self   string
	Domain string
	Budget int // Budget is the number of engines watched, shared evenly by the models declared.
}

// Pool watches targets.
type Pool struct {
	*wait.Loop
	settings Settings
	source   Source
	engines  engine.Client
	table    *cell.Cell[table]
	fails    *metrics.Counter
	polled   map[string]time.Time // polled is owned by the loop.
	polls    map[string]int       // polls is owned by the loop.
	seen     conf.Revision        // seen is owned by the loop.
}

// New returns a pool that watches the targets of a source.
func New(s Settings, source Source, engines engine.Client, set *metrics.Set) *Pool {
	p := &Pool{
		settings: s,
		source:   source,
		engines:  engines,
		table:    cell.New(table{}),
		fails:    set.GetOrCreateCounter("bramleywharf_target_reports_missed_total"),
		polled:   make(map[string]time.Time),
		polls:    make(map[string]int),
	}
	set.NewGauge("bramleywharf_targets_watched", func() float64 { return float64(len(p.table.Load().names)) })
	p.Loop = wait.Start(p.loop)
	return p
}

// Find returns a declared target by name, watched or not.
func (p *Pool) Find(name string) (route.Candidate, bool) {
	if e, ok := p.table.Load().entries[name]; ok {
		return e.candidate(""), true
	}
	for _, t := range p.source.Snapshot().Targets() {
		if t.Name == name {
			return route.Candidate{Name: t.Name, Address: t.Address, Domain: t.Domain, Slots: t.Slots}, true
		}
	}
	return route.Candidate{}, false
}

// Free returns the slots of healthy engines for a model that neither their last report nor this instance's own count shows taken.
func (p *Pool) Free(model string) int {
	free := 0
	for _, e := range p.table.Load().entries {
		if !e.suspect && e.serves(model) {
			free += max(0, e.free())
		}
	}
	return free
}

// Hold counts one generation on a target until release is called.
func (p *Pool) Hold(name string) (release func()) {
	e, ok := p.table.Load().entries[name]
	if !ok {
		return func() {}
	}
	e.own.Add(1)
	return func() { e.own.Add(-1) }
}

// Pick chooses a target for a generation.
func (p *Pool) Pick(spec flow.Spec, avoid map[string]bool) (route.Candidate, bool) {
	prefix := Prefix(spec.Prompt)
	t := p.table.Load()
	var candidates []route.Candidate
	for _, name := range t.names {
		if e := t.entries[name]; e.offers(spec.Model, spec.Adapter, spec.Version) {
			candidates = append(candidates, e.candidate(prefix))
		}
	}
	at := route.Choose(route.Balanced{Domain: p.settings.Domain, Draw: rand.Uint64()}, candidates, avoid)
	if at < 0 {
		return route.Candidate{}, false
	}
	chosen := candidates[at]
	if chosen.Warm == 0 {
		p.change(chosen.Name, func(e entry) entry {
			e.cache = e.cache.withRouted(prefix)
			return e
		})
	}
	return chosen, true
}

// Services returns the targets of a plain service that take new work, the best first.
func (p *Pool) Services(service string) []route.Candidate {
	var open []route.Candidate
	for _, t := range p.source.Snapshot().Targets() {
		if t.Service == service && !t.Leaving {
			open = append(open, route.Candidate{Name: t.Name, Address: t.Address, Domain: t.Domain})
		}
	}
	slices.SortStableFunc(open, func(a, b route.Candidate) int {
		return p.distance(a) - p.distance(b)
	})
	return open
}

// Suspect reports that a target failed; a report from it clears the suspicion.
func (p *Pool) Suspect(name string) {
	p.change(name, func(e entry) entry {
		e.suspect = true
		return e
	})
}

// Watched returns the watched targets, for people to look at.
func (p *Pool) Watched() []route.Candidate {
	t := p.table.Load()
	watched := make([]route.Candidate, 0, len(t.names))
	for _, name := range t.names {
		watched = append(watched, t.entries[name].candidate(""))
	}
	return watched
}

// change replaces one entry.
func (p *Pool) change(name string, by func(entry) entry) {
	p.table.Update(func(t table) table {
		e, ok := t.entries[name]
		if !ok {
			return t
		}
		return t.withEntry(by(e))
	})
}

// distance is 0 for the instance's own failure domain and 1 for others.
func (p *Pool) distance(c route.Candidate) int {
	if c.Domain == p.settings.Domain {
		return 0
	}
	return 1
}

// loop reconciles the table with the configuration and polls what is due.
func (p *Pool) loop(ctx context.Context) {
	tick := time.NewTicker(reconcilePeriod)
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

// poll reads the report and cache events of one target.
func (p *Pool) poll(ctx context.Context, t conf.Target, withCache bool, sequence int) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.engines.Load(ctx, t.Address)
	if err != nil {
		p.fails.Inc()
		p.change(t.Name, entry.withMiss)
		return
	}
	var events []engine.CacheEvent
	if withCache {
		events, _ = p.engines.CacheEvents(ctx, t.Address, sequence)
	}
	p.change(t.Name, func(e entry) entry { return e.withReport(load, events) })
}

// pollDue starts the polls whose time has come.
func (p *Pool) pollDue(ctx context.Context, group *sync.WaitGroup) {
	now := time.Now()
	t := p.table.Load()
	for _, name := range t.names {
		if _, known := p.polled[name]; !known {
			p.polled[name] = now.Add(-rand.N(pollPeriod)) // Reports are spread over the period.
		}
		if now.Sub(p.polled[name]) < pollPeriod {
			continue
		}
		p.polled[name] = now
		e := t.entries[name]
		p.polls[name]++
		withCache := p.polls[name]%cacheEvery == 1
		group.Go(func() { p.poll(ctx, e.target, withCache, e.cache.sequence) })
	}
}

// reconcile makes the table hold the targets that this instance should watch.
func (p *Pool) reconcile() {
	snapshot := p.source.Snapshot()
	if snapshot.Revision() == p.seen {
		return
	}
	p.seen = snapshot.Revision()
	wanted := p.wanted(snapshot)
	p.table.Update(func(old table) table {
		next := table{entries: make(map[string]entry, len(wanted))}
		for _, t := range wanted {
			e, ok := old.entries[t.Name]
			if !ok {
				e = entry{own: new(atomic.Int64), slots: t.Slots}
			}
			e.target = t
			next.entries[t.Name] = e
			next.names = append(next.names, t.Name)
		}
		slices.Sort(next.names)
		return next
	})
}

// wanted returns the engines to watch: a stable subset for each model, spread over failure domains.
func (p *Pool) wanted(snapshot *conf.Snapshot) []conf.Target {
	byModel := make(map[string][]route.Place)
	byName := make(map[string]conf.Target)
	for _, t := range snapshot.Targets() {
		byName[t.Name] = t
		for _, grant := range t.Models {
			model, _, _ := conf.SplitGrant(grant)
			byModel[model] = append(byModel[model], route.Place{Name: t.Name, Domain: t.Domain})
		}
	}
	subset := max(leastSubset, p.settings.Budget/max(1, len(byModel)))
	chosen := make(map[string]bool)
	for model, places := range byModel {
		for _, name := range route.Spread(p.settings.Self+"/"+model, p.settings.Domain, places, subset) {
			chosen[name] = true
		}
	}
	var wanted []conf.Target
	for name := range chosen {
		wanted = append(wanted, byName[name])
	}
	return wanted
}

// withMiss returns the entry after a report that did not come.
func (e entry) withMiss() entry {
	e.fails++
	if e.fails >= failsToSuspect {
		e.suspect = true
	}
	return e
}

// withReport returns the entry after a report.
func (e entry) withReport(l engine.Load, events []engine.CacheEvent) entry {
	e.fails = 0
	e.suspect = false
	e.load = l.Running + l.Waiting
	e.leaving = l.Leaving
	if l.Slots > 0 {
		e.slots = l.Slots
	}
	e.cache = e.cache.withEvents(events)
	return e
}
