package shift

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/canary"
	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/plan"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// followInterval is the time between two looks at the evidence, and leadInterval between two decisions.
	followInterval = 200 * time.Millisecond
	leadInterval   = 100 * time.Millisecond
	// maxShareAge is the age of the copy of the states from which a share counts as 0.
	maxShareAge = 5 * time.Second
)

// Settings configures a shift.
type Settings struct {
	Name        string         // Name is that of this instance.
	ExposeShare func() float64 // ExposeShare returns the part of a service's requests that a bad version may get.
	Orders      Orders
	States      States
	Targets     Targets
	Fleet       Fleet
	Memory      func(service string) int // Memory returns the capacity of one target in tokens, or 0; it may be nil.
}

// Shift is the controller of the roll-outs. All methods that serve requests do nothing on a nil shift.
type Shift struct {
	*wait.Loop
	settings Settings
	log      log.Interface
	set      *metrics.Set
	elector  atomic.Pointer[Elector]
	plans    atomic.Pointer[map[string]*plan.Plan] // plans maps services to what applies to their requests.
	accounts sync.Map                              // accounts maps each service to the *atomic.Pointer[account] of its roll-out.
	views    atomic.Pointer[[]view]                // views holds what the steps of the roll-outs are decided by.
	saved    sync.Map                              // saved maps services to the canary.State that this instance stored or read last.
	wake     chan struct{}                         // wake receives a value when a state in saved has changed.
	ready    chan struct{}
}

// New returns a shift that decides nothing until Assign is called.
func New(s Settings, logger log.Interface, set *metrics.Set) *Shift {
	h := &Shift{settings: s, log: logger, set: set, wake: make(chan struct{}, 1), ready: make(chan struct{})}
	h.plans.Store(&map[string]*plan.Plan{})
	h.views.Store(&[]view{})
	h.Loop = wait.Start(func(ctx context.Context) {
		leader := wait.Start(newLeader(h).loop)
		defer leader.Close()
		newFollower(h).loop(ctx)
	})
	return h
}

// Assign sets the fleet that elects the instances that decide.
func (h *Shift) Assign(members Elector) {
	h.elector.Store(&members)
}

// Ready returns a channel that closes when the first copies of orders and states are confirmed and the targets that are
// declared by then may be used. An instance should not accept callers before.
func (h *Shift) Ready() <-chan struct{} {
	return h.ready
}

// Own returns what this instance has seen of the versions, for its load report.
func (h *Shift) Own() []wire.Rollout {
	var rollouts []wire.Rollout
	for _, v := range *h.views.Load() {
		if v.situation.State == nil || !v.situation.State.IsOpen() {
			continue
		}
		account := h.account(v.service).Load()
		rollout := wire.Rollout{Service: v.service, Order: account.order, Start: account.start, Elapsed: v.elapsed(time.Now())}
		for g, t := range account.evidence.All() {
			rollout.Tallies = append(rollout.Tallies, wire.RolloutTally{
				Version: g.Version, Route: g.Route, Domain: g.Domain, Sent: t.Sent, Tokens: t.Tokens,
				Responses: t.Responses, Failures: t.Failures, Timed: t.Timed, LogSum: t.LogSum, LogSquare: t.LogSquare,
			})
		}
		rollouts = append(rollouts, rollout)
	}
	return rollouts
}

// Choose chooses the version for a request to a service, or returns nil if roll-outs are off.
func (h *Shift) Choose(service, requestID string) *Choice {
	if h == nil {
		return nil
	}
	c := &Choice{shift: h, service: service}
	p := (*h.plans.Load())[service]
	if p == nil || !p.IsRunning() {
		return c
	}
	share := p.Share
	if h.settings.States.Age() > maxShareAge {
		share = 0
	}
	cell.TryUpdate(h.account(service), func(a account) (account, bool) {
		c.fresh = false
		if a.order != p.Order {
			return a, false
		}
		a, c.fresh = a.withRequest(share, mayBeFresh(requestID))
		return a, true
	})
	c.order = p.Order
	return c
}

// Record records how an attempt at a target ended.
func (h *Shift) Record(service, version, route, domain string, o canary.Outcome) {
	if h == nil {
		return
	}
	h.note(service, func(a account) account {
		return a.withOutcome(canary.Group{Version: version, Route: route, Domain: domain}, o)
	})
}

// Counts reports whether Record has an effect for a service.
func (h *Shift) Counts(service string) bool {
	if h == nil {
		return false
	}
	p := (*h.plans.Load())[service]
	return p != nil && p.Counts()
}

// note changes the account of a service while evidence is collected.
func (h *Shift) note(service string, change func(account) account) {
	if p := (*h.plans.Load())[service]; p != nil && p.Counts() {
		cell.TryUpdate(h.account(service), func(a account) (account, bool) { return change(a), a.order == p.Order })
	}
}

// account returns the account of a service.
func (h *Shift) account(service string) *atomic.Pointer[account] {
	if known, ok := h.accounts.Load(service); ok {
		return known.(*atomic.Pointer[account])
	}
	fresh := &atomic.Pointer[account]{}
	fresh.Store(&account{})
	known, _ := h.accounts.LoadOrStore(service, fresh)
	return known.(*atomic.Pointer[account])
}

// adopt makes a stored state that this instance wrote or read known to its own loops.
func (h *Shift) adopt(s canary.State) {
	h.saved.Store(s.Service, s)
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
