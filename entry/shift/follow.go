package shift

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"bramleywharf.example/core/canary"
	"bramleywharf.example/core/plan"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"github.com/apex/log"
)

// view is what the next step of one service's roll-out is decided by. It is immutable.
type view struct {
	service   string
	situation canary.Situation
	base      time.Time // base is the time of the order as this instance knows it.
}

// elapsed returns the time since the order.
func (v view) elapsed(now time.Time) time.Duration {
	return now.Sub(v.base)
}

// windowLengths are the lengths of the recent times that are judged beside the whole time since the order. A fault that
// appears after a long time is too small a part of the whole.
var windowLengths = []time.Duration{4 * time.Second, 10 * time.Second, 25 * time.Second}

// snapshotInterval is the time between two snapshots of the evidence, from which that of recent times is computed.
const snapshotInterval = 500 * time.Millisecond

// snapshot is the evidence at a time.
type snapshot struct {
	at       time.Time
	evidence canary.Evidence
}

// rollout is what the follower knows of one service's roll-out.
type rollout struct {
	order     uint64    // order identifies the roll-out, also one that is not accepted yet.
	base      time.Time // base is the time of the order.
	ledger    canary.Ledger
	taken     map[string]time.Duration // taken maps instances to the time since the order in their last report.
	snapshots []snapshot
	stopped   bool
}

// follower keeps the plans and views of a shift.
type follower struct {
	shift     *Shift
	startedAt time.Time
	seen      map[string]map[string]time.Time // seen maps services and versions to when they were first seen.
	cleared   map[string]map[string]bool      // cleared holds those that were confirmed since.
	rollouts  map[string]*rollout
	isReady   bool
}

// newFollower returns a follower that knows nothing.
func newFollower(h *Shift) *follower {
	return &follower{
		shift: h, startedAt: time.Now(), seen: make(map[string]map[string]time.Time),
		cleared: make(map[string]map[string]bool), rollouts: make(map[string]*rollout),
	}
}

// loop follows the orders, states, targets and the evidence.
func (f *follower) loop(ctx context.Context) {
	s := f.shift.settings
	for {
		ordersChanged, statesChanged := s.Orders.Changed(), s.States.Changed()
		f.follow(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ordersChanged:
		case <-statesChanged:
		case <-f.shift.wake:
		case <-time.After(followInterval):
		}
	}
}

// follow computes the plans and views at a time.
func (f *follower) follow(now time.Time) {
	h := f.shift
	targets := make(map[string][]site.Target)
	for _, t := range h.settings.Targets.Declared() {
		targets[t.Service] = append(targets[t.Service], t)
	}
	f.clear(targets, now)
	orders, states := f.orders(), f.states()
	services := make(map[string]bool)
	for _, names := range []map[string]bool{keys(targets), keys(orders), keys(states)} {
		maps.Copy(services, names)
	}
	reports := h.settings.Fleet.Rollouts()
	plans := make(map[string]*plan.Plan, len(services))
	var views []view
	for service := range services {
		situation := canary.Situation{Expose: h.settings.ExposeShare(), Order: orders[service], State: states[service]}
		if situation.Order != nil || situation.State != nil {
			f.observe(service, &situation, reports, now)
			situation.Capacity = f.capacity(service, targets[service], situation)
			views = append(views, view{service: service, situation: situation, base: f.rollouts[service].base})
		} else {
			delete(f.rollouts, service)
		}
		plans[service] = f.newPlan(service, targets[service], situation)
	}
	h.plans.Store(&plans)
	h.views.Store(&views)
	f.markReady(targets)
}

// keys returns the keys of a map as a set.
func keys[V any](m map[string]V) map[string]bool {
	set := make(map[string]bool, len(m))
	for key := range m {
		set[key] = true
	}
	return set
}

// orders returns the known orders by service.
func (f *follower) orders() map[string]*canary.Order {
	orders := make(map[string]*canary.Order)
	for _, o := range f.shift.settings.Orders.Orders() {
		orders[o.Service] = &o
	}
	return orders
}

// states returns the newest known states by service.
func (f *follower) states() map[string]*canary.State {
	states := make(map[string]*canary.State)
	for _, s := range f.shift.settings.States.States() {
		states[s.Service] = &s
	}
	f.shift.saved.Range(func(service, value any) bool {
		if saved := value.(canary.State); states[saved.Service] == nil || states[saved.Service].Revision < saved.Revision {
			states[saved.Service] = &saved
		}
		return true
	})
	return states
}

// clear records the versions that are seen, and those whose roll-outs were confirmed since. When a service is seen for the
// first time, the version of the target that started first needs no confirmation: targets of a new version are started
// beside the old ones. An instance that has just started can therefore take requests at once.
func (f *follower) clear(targets map[string][]site.Target, now time.Time) {
	age := max(f.shift.settings.Orders.Age(), f.shift.settings.States.Age())
	for service, list := range targets {
		if f.seen[service] == nil {
			f.seen[service], f.cleared[service] = make(map[string]time.Time), make(map[string]bool)
			if oldest, ok := oldestVersion(list); ok {
				f.cleared[service][oldest] = true
			}
		}
		for _, t := range list {
			since, known := f.seen[service][t.Version]
			if !known {
				f.seen[service][t.Version] = now
			} else if age < now.Sub(since) && !f.cleared[service][t.Version] {
				next := maps.Clone(f.cleared[service]) // Plans hold the map.
				next[t.Version] = true
				f.cleared[service] = next
			}
		}
	}
}

// oldestVersion returns the version of the target that started first, and false if no start is known.
func oldestVersion(targets []site.Target) (string, bool) {
	oldest, ok := site.Target{}, false
	for _, t := range targets {
		if t.StartID != 0 && (!ok || t.StartID < oldest.StartID) {
			oldest, ok = t, true
		}
	}
	return oldest.Version, ok
}

// markReady closes the channel of Ready once each service with targets has a version that may be used, and, if there are no
// targets, once the copies are confirmed.
func (f *follower) markReady(targets map[string][]site.Target) {
	s := f.shift.settings
	if f.isReady || len(targets) == 0 && max(s.Orders.Age(), s.States.Age()) >= time.Since(f.startedAt) {
		return
	}
	for service := range targets {
		if len(f.cleared[service]) == 0 {
			return
		}
	}
	f.isReady = true
	close(f.shift.ready)
}

// observe brings the knowledge of a service's roll-out up to date and sets the evidence of the situation.
func (f *follower) observe(service string, s *canary.Situation, reports map[string][]wire.Rollout, now time.Time) {
	order := uint64(0)
	if s.State != nil {
		order = s.State.Order
	}
	if s.Order != nil && (s.State == nil || s.State.IsReplacedBy(*s.Order)) {
		order = s.Order.Revision
	}
	r := f.rollouts[service]
	if r != nil && s.State == nil && s.Order.Status != (canary.Status{}) {
		order = r.order // The store has lost the state of an order that was accepted; it is stored anew.
	}
	if r == nil || r.order != order {
		r = &rollout{order: order, base: now, taken: make(map[string]time.Duration)}
		f.rollouts[service] = r
		first := newAccount(order, f.shift.settings.Name)
		f.shift.account(service).Store(&first)
		f.shift.set.GetOrCreateGauge(fmt.Sprintf("bramleywharf_rollout_share{service=%q}", service), func() float64 {
			return (*f.shift.plans.Load())[service].Exposure()
		})
	}
	if s.State != nil && s.State.Order == order {
		r.startNoLaterThan(now.Add(-s.State.Elapsed))
	}
	s.Elapsed = now.Sub(r.base)
	if s.State == nil || s.State.Order != order || !s.State.IsOpen() {
		return
	}
	own := f.shift.account(service).Load()
	r.ledger = r.ledger.WithReport(canary.Source{Instance: f.shift.settings.Name, Start: own.start}, own.evidence)
	for instance, list := range reports {
		for _, report := range list {
			if report.Service == service && report.Order == order && instance != f.shift.settings.Name {
				r.take(instance, report, now)
			}
		}
	}
	s.Elapsed = now.Sub(r.base)
	s.Evidence = r.ledger.Sum()
	s.Recent = r.recent(s.Evidence, now)
	if !r.stopped {
		f.stopIfBad(r, *s)
	}
}

// take adds the report of another instance unless it was added before.
func (r *rollout) take(instance string, report wire.Rollout, now time.Time) {
	if r.taken[instance] == report.Elapsed {
		return
	}
	r.taken[instance] = report.Elapsed
	r.ledger = r.ledger.WithReport(canary.Source{Instance: instance, Start: report.Start}, decode(report))
	r.startNoLaterThan(now.Add(-report.Elapsed))
}

// startNoLaterThan records that the order was known at a time.
func (r *rollout) startNoLaterThan(at time.Time) {
	if at.Before(r.base) {
		r.base = at
	}
}

// recent returns the evidence of recent times, and takes a snapshot if one is due.
func (r *rollout) recent(evidence canary.Evidence, now time.Time) []canary.Evidence {
	if len(r.snapshots) == 0 || now.Sub(r.snapshots[len(r.snapshots)-1].at) >= snapshotInterval {
		oldest := now.Add(-windowLengths[len(windowLengths)-1] - snapshotInterval)
		r.snapshots = slices.DeleteFunc(r.snapshots, func(s snapshot) bool { return s.at.Before(oldest) })
		r.snapshots = append(r.snapshots, snapshot{at: now, evidence: evidence})
	}
	var recent []canary.Evidence
	for _, length := range windowLengths {
		i := slices.IndexFunc(r.snapshots, func(s snapshot) bool { return now.Sub(s.at) <= length })
		if i >= 0 && r.snapshots[i].at.After(r.base.Add(snapshotInterval)) {
			recent = append(recent, evidence.Minus(r.snapshots[i].evidence))
		}
	}
	return recent
}

// stopIfBad stops requests to the new version here if the evidence is against it, before the leader decides.
func (f *follower) stopIfBad(r *rollout, s canary.Situation) {
	bad, ok := s.Condemn()
	if !ok {
		return
	}
	r.stopped = true
	f.shift.log.WithFields(figures(s.Evidence, s.State.To)).WithFields(log.Fields{"service": s.State.Service, "to": s.State.To, "cause": bad.Reason}).
		Warn("evidence is against the version; it gets no more requests from this instance")
}

// decode returns the evidence in a report.
func decode(r wire.Rollout) canary.Evidence {
	tallies := make(map[canary.Group]canary.Tally, len(r.Tallies))
	for _, t := range r.Tallies {
		tallies[canary.Group{Version: t.Version, Route: t.Route, Domain: t.Domain}] = canary.Tally{
			Sent: t.Sent, Tokens: t.Tokens, Responses: t.Responses, Failures: t.Failures, Timed: t.Timed, LogSum: t.LogSum, LogSquare: t.LogSquare,
		}
	}
	return canary.NewEvidence(tallies)
}

// capacity returns what the targets of a service can take.
func (f *follower) capacity(service string, targets []site.Target, s canary.Situation) canary.Capacity {
	settings := f.shift.settings
	c := canary.Capacity{Running: settings.Targets.Running(service)}
	if settings.Memory != nil {
		c.Memory = settings.Memory(service)
	}
	if s.State == nil {
		return c
	}
	versions := make(map[string]bool)
	for _, t := range targets {
		switch {
		case t.Leaving || s.State.IsBarred(t.Version):
		case t.Version != s.State.To:
			versions[t.Version] = true
			c.OldTargets++
			c.OldSlots += t.Slots
		case settings.Targets.IsSound(t):
			c.NewTargets++
			c.NewSlots += t.Slots
		}
	}
	c.Versions = slices.Sorted(maps.Keys(versions))
	return c
}

// newPlan returns what applies to the requests to a service.
func (f *follower) newPlan(service string, targets []site.Target, s canary.Situation) *plan.Plan {
	p := &plan.Plan{Cleared: f.cleared[service]}
	if s.Order != nil && (s.State == nil || s.State.IsReplacedBy(*s.Order)) {
		p.Pending = s.Order.To
	}
	if s.State == nil {
		p.Alone = !slices.ContainsFunc(targets, func(t site.Target) bool { return !t.Leaving && t.Version != p.Pending })
		return p
	}
	p.Order, p.Phase, p.To, p.Share = s.State.Order, s.State.Phase, s.State.To, s.State.Share
	p.Barred, p.From = s.State.Barred, s.State.From
	p.IsOpen = s.State.IsOpen() && f.rollouts[service].order == s.State.Order
	p.Stopped = f.rollouts[service].stopped && f.rollouts[service].order == s.State.Order
	var fresh []site.Target
	others := 0
	for _, t := range targets {
		switch {
		case t.Leaving || s.State.IsBarred(t.Version):
		case t.Version == s.State.To:
			fresh = append(fresh, t)
		case t.Version != p.Pending:
			others++
		}
	}
	p.Alone = others == 0 && (p.Pending == "" || p.Pending == p.To || len(fresh) == 0)
	switch {
	case s.Order == nil || p.Pending != "":
		p.Share = 0 // The order was withdrawn or replaced, and the state is about to say so.
	case p.Phase == canary.Running && p.Share > 0 && len(fresh) > 0:
		p.Focus = plan.NewFocus(fresh, others, p.Share, s.State.Stage)
	}
	return p
}

// figures returns the fields of a log line with the evidence for and against a version.
func figures(e canary.Evidence, version string) log.Fields {
	fresh, old := e.Split(version)
	return log.Fields{
		"new-sent": fresh.Sent, "new-responses": fresh.Responses, "new-failures": fresh.Failures, "new-mean-ms": fresh.MeanLatency().Milliseconds(),
		"old-sent": old.Sent, "old-responses": old.Responses, "old-failures": old.Failures, "old-mean-ms": old.MeanLatency().Milliseconds(),
	}
}
