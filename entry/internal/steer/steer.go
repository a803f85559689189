package steer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/cursor"
	"bramleywharf.example/core/fence"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/internal/engine"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	kindLease         = "lease"
	leaseName         = "engine-orders"
	maxOrdersPerRound = 2  // maxOrdersPerRound protects the weight store, which is rate-limited.
	maxReadsPerRound  = 20 // maxReadsPerRound keeps the cost of a round independent of the number of engines.
)

// Roles tells whether this instance should hold the lease.
type Roles interface {
	// Elected tells whether this instance is among the count instances that are elected for a role.
	Elected(role string, count int) bool
}

// Source provides the configuration that declares the targets.
type Source interface {
	// Current returns the current snapshot, or an error while the configuration is not known.
	Current() (*conf.Snapshot, error)
}

// Steer orders engines to load the declared models. Closing it does not give up the lease, which expires.
type Steer struct {
	*wait.Loop
	self          string
	store         store.Store
	roles         Roles
	source        Source
	engines       engine.Client
	log           log.Interface
	ordersSent    *metrics.Counter
	ordersRefused *metrics.Counter

	// Only the loop uses these.
	leaseSeen    fence.Observation
	leaseTakenAt time.Time // leaseTakenAt is when this instance last took the lease over.
	nextTarget   int       // nextTarget is the index, modulo their number, of the target that the next round starts with.
}

// New returns a controller that orders engines while it holds the lease and registers its metrics in the set.
func New(self string, platform store.Store, roles Roles, source Source, engines engine.Client, logger log.Interface, set *metrics.Set) *Steer {
	s := &Steer{
		self:          self,
		store:         platform,
		roles:         roles,
		source:        source,
		engines:       engines,
		log:           logger,
		ordersSent:    set.GetOrCreateCounter("bramleywharf_engine_orders_total"),
		ordersRefused: set.GetOrCreateCounter("bramleywharf_engine_orders_refused_total"),
	}
	s.Loop = wait.Start(s.loop)
	return s
}

// writeLease takes the lease over or extends it. If that fails, it reads the lease again.
func (s *Steer) writeLease(ctx context.Context, l fence.Lease, isTakeover bool) {
	raw, err := json.Marshal(l)
	if err != nil {
		s.log.WithError(err).Error("lease could not be encoded")
		return
	}
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, fence.RenewInterval)
	defer cancel()
	o := store.Object{Kind: kindLease, Name: leaseName, Revision: s.leaseSeen.Revision}
	revision, err := store.Verifying{Store: s.store}.Put(ctx, o.WithValue(cursor.NewID(), raw))
	if err != nil {
		s.readLease(ctx)
		return
	}
	s.leaseSeen = s.leaseSeen.WithRenewal(l, revision, requestedAt)
	if isTakeover {
		s.leaseTakenAt = time.Now()
		s.log.WithField("fencing-number", l.FencingNumber).Info("took over the lease for engine orders")
	}
}

// loop keeps the lease while this instance is elected, and runs a round of orders at each renewal.
func (s *Steer) loop(ctx context.Context) {
	tick := time.NewTicker(fence.RenewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		wantsLease := s.roles.Elected("steer", 1)
		if wantsLease && s.leaseSeen.HeldUntil.IsZero() {
			s.readLease(ctx)
		}
		switch step := fence.Decide(s.leaseSeen, s.self, wantsLease, time.Now()).(type) {
		case fence.Take:
			s.writeLease(ctx, step.Lease, true)
		case fence.Extend:
			s.writeLease(ctx, step.Lease, false)
		}
		s.runRound(ctx)
	}
}

// readLease reads the lease from the platform.
func (s *Steer) readLease(ctx context.Context) {
	o, err := s.store.Get(ctx, kindLease, leaseName)
	if err != nil {
		s.log.WithError(err).Debug("lease could not be read")
		return
	}
	var l fence.Lease
	if err := json.Unmarshal(o.Value, &l); err != nil {
		s.log.WithError(err).Error("lease could not be decoded")
		return
	}
	s.leaseSeen = s.leaseSeen.WithLease(l, o.Revision, time.Now())
}

// reconcile reads which models an engine has loaded and orders the declared ones if they differ. It tells whether it
// sent an order.
func (s *Steer) reconcile(ctx context.Context, t conf.Target) (ordered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, fence.OrderTimeout)
	defer cancel()
	load, err := s.engines.Load(ctx, t.Address)
	if err != nil {
		return false, fmt.Errorf("read models of %s: %w", t.Name, err)
	}
	wantedModels := slices.Sorted(slices.Values(t.Models))
	if slices.Equal(slices.Sorted(slices.Values(load.Models)), wantedModels) {
		return false, nil
	}
	if !fence.MayOrder(s.leaseSeen, s.self, fencingOf(t), s.leaseTakenAt, time.Now()) {
		return false, nil
	}
	s.ordersSent.Inc()
	err = s.engines.Order(ctx, t.Address, engine.Order{Fence: s.leaseSeen.Lease.FencingNumber, Models: wantedModels})
	if errors.Is(err, engine.ErrFenced) {
		s.ordersRefused.Inc()
	}
	return true, err
}

// runRound reconciles the next engines, if this instance holds the lease, until it has sent enough orders, has read
// enough engines or its lease is about to expire.
func (s *Steer) runRound(ctx context.Context) {
	if s.leaseSeen.Lease.Holder != s.self || s.leaseSeen.HeldUntil.IsZero() {
		return
	}
	snapshot, err := s.source.Current()
	if err != nil {
		s.log.WithError(err).Debug("configuration is not known; sending no orders")
		return
	}
	targets := slices.DeleteFunc(snapshot.Targets(), func(t conf.Target) bool { return len(t.Models) == 0 || t.Leaving })
	orderCount := 0
	for range min(len(targets), maxReadsPerRound) {
		t := targets[s.nextTarget%len(targets)]
		s.nextTarget++
		ordered, err := s.reconcile(ctx, t)
		if err != nil {
			s.log.WithError(err).WithField("target", t.Name).Debug("models of an engine could not be read or ordered")
		}
		if ordered {
			orderCount++
		}
		if orderCount == maxOrdersPerRound || time.Now().Add(fence.OrderTimeout).After(s.leaseSeen.HeldUntil) {
			return
		}
	}
}

// fencingOf tells whether a target checks or ignores fencing numbers.
func fencingOf(t conf.Target) fence.EngineKind {
	if t.IgnoresFencing {
		return fence.IgnoresFencing{}
	}
	return fence.ChecksFencing{}
}
