package picker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/health"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	refresh   = 250 * time.Millisecond  // refresh is the time between two looks at targets that only lapsed.
	keepLapse = 1500 * time.Millisecond // keepLapse is how long a target that vanished with the store is still used: a heartbeat and a little more; with the way of the news it stays below the 2 s in which a target that left must be free of new work.
)

// Source gives the declared targets.
type Source interface {
	// Changed returns a channel that closes at the next change.
	Changed() <-chan struct{}
	// Settled tells whether targets that are missing are gone.
	Settled() bool
	// Targets returns all declared targets that can be read.
	Targets() []site.Target
}

// state is what this instance keeps of one start of a target.
type state struct {
	target  site.Target                     // target is the one that it was made for.
	flying  atomic.Int64                    // flying counts the requests of this instance that are running there.
	streams atomic.Int64                    // streams counts the streams among them.
	reading atomic.Int64                    // reading counts the prompt tokens that it has not read yet.
	copies  atomic.Int64                    // copies counts the copies of streams that this instance has kept there.
	others  atomic.Pointer[wire.TargetLoad] // others is the load of all other instances.
	belief  atomic.Pointer[health.Belief]
}

// table is the roster with the state of each target; its maps are never changed after construction.
type table struct {
	roster *site.Roster
	states map[string]*state
}

// Picker keeps the targets and chooses among them.
type Picker struct {
	*wait.Loop
	source     Source
	gone       func(address string) // gone is told the address of each target that is gone.
	log        log.Interface
	table      *cell.Cell[table]
	began      time.Time
	losses     *metrics.Counter
	dark       sync.Map                            // dark holds when a target of each failure domain was lost last, as a time.Time.
	usage      atomic.Pointer[func() []wire.Usage] // usage tells what this instance sent lately, or is nil.
	successors *cell.Cell[site.Successors]         // successors holds the targets that were found before they were listed, here or by a peer.
	ended      sync.Map                            // ended holds when targets ended that were used here, as a time.Time.
	stale      atomic.Bool                         // stale tells that statements came that are not added up yet.
	life       atomic.Int64                        // life is the age from which statements are forgotten, in nanoseconds.
	turn       sync.Mutex                          // turn lets one goroutine reconcile at a time.

	mu        sync.Mutex
	name      string
	sequence  uint64
	heard     map[string]statement  // heard holds the newest statement of each other instance.
	places    map[string]place      // places holds where the sessions of this instance run.
	elsewhere map[string]string     // elsewhere holds the targets of other instances\' sessions.
	used      map[string]wire.Usage // used sums up what other instances sent to each service lately.
}

// New returns a picker that follows its source.
func New(source Source, gone func(address string), logger log.Interface, set *metrics.Set) *Picker {
	p := &Picker{
		source:     source,
		gone:       gone,
		log:        logger,
		table:      cell.New(table{roster: (&site.Roster{}).WithTargets(nil, time.Now(), 0)}),
		successors: cell.New(site.Successors{}),
		began:      time.Now(),
		heard:      make(map[string]statement),
		places:     make(map[string]place),
		losses:     set.GetOrCreateCounter("bramleywharf_targets_lost_total"),
	}
	p.life.Store(int64(loadLife))
	set.NewGauge("bramleywharf_targets", func() float64 { return float64(p.table.Load().roster.Len()) })
	set.NewGauge("bramleywharf_targets_suspect", p.suspects)
	p.Loop = wait.Start(p.loop)
	return p
}

// loop reconciles the table with the source.
func (p *Picker) loop(ctx context.Context) {
	for {
		changed := p.source.Changed()
		p.reconcile()
		var lapsed <-chan time.Time
		if p.table.Load().roster.Lapsed() || p.successors.Load().Len() > 0 {
			lapsed = time.After(refresh)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-lapsed:
		}
	}
}

// reconcile takes the declared targets into the table.
func (p *Picker) reconcile() {
	p.turn.Lock()
	defer p.turn.Unlock()
	keep, settled := keepLapse, p.source.Settled()
	if settled {
		keep = 0
	}
	targets := p.source.Targets()
	p.successors.Update(func(s site.Successors) site.Successors {
		targets, s = s.Apply(targets, time.Now(), settled)
		return s
	})
	var old, next *site.Roster
	p.table.Update(func(t table) table {
		old, next = t.roster, t.roster.WithTargets(targets, time.Now(), keep)
		return table{roster: next, states: states(t, next)}
	})
	p.stale.Store(true) // New targets have no loads of others yet.
	for name := range next.Moved(old) {
		was, _ := old.Get(name)
		p.gone(was.Address)
		p.end(name, time.Now())
		p.log.WithFields(log.Fields{"target": name, "address": was.Address, "revision": was.Revision}).Info("target is gone or started again")
	}
	p.logChanges(old, next)
}

// logChanges logs targets that are new or leave.
func (p *Picker) logChanges(old, next *site.Roster) {
	for _, t := range next.All() {
		was, known := old.Get(t.Name)
		fields := log.Fields{"target": t.Name, "address": t.Address, "service": t.Service, "domain": t.Domain, "revision": t.Revision}
		switch {
		case !known && old.Len() > 0:
			p.log.WithFields(fields).Info("target is new")
		case known && t.Leaving && !was.Leaving:
			p.log.WithFields(fields).Info("target leaves")
		}
	}
}

// states returns the states of a roster's targets, those of the same start carried over.
func states(t table, roster *site.Roster) map[string]*state {
	next := make(map[string]*state, roster.Len())
	for _, target := range roster.All() {
		old, ok := t.states[target.Name]
		if ok && target.Follows(old.target) {
			next[target.Name] = old
			continue
		}
		fresh := &state{target: target}
		fresh.belief.Store(&health.Belief{})
		fresh.others.Store(&wire.TargetLoad{})
		next[target.Name] = fresh
	}
	return next
}

// suspects counts the targets that are avoided.
func (p *Picker) suspects() float64 {
	now := time.Now()
	count := 0
	for _, s := range p.table.Load().states {
		if s.belief.Load().Suspect(now) {
			count++
		}
	}
	return float64(count)
}

// update replaces a belief by what change makes of it.
func (s *state) update(change func(health.Belief) health.Belief) {
	cell.Swap(&s.belief, func(b health.Belief) (health.Belief, bool) { return change(b), true })
}
