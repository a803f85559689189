package steer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/fence"
	"bramleywharf.example/core/store"
	"bramleywharf.example/core/token"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/internal/engine"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

const (
	kindLease   = "lease"
	leaseName   = "engine-orders"
	loadsAtOnce = 2  // loadsAtOnce bounds the engines that are told to load in one round, as the weight store is rate-limited.
	readsAtOnce = 20 // readsAtOnce bounds the engines that are read back in one round, so that the holder's cost does not grow with their number.
)

// Roles tells whether this instance should hold the lease.
type Roles interface {
	// Elected tells whether this instance is one of a few that act for all.
	Elected(role string, count int) bool
}

// Source gives the declared targets.
type Source interface {
	// Current returns the snapshot in force, or an error while it cannot be known.
	Current() (*conf.Snapshot, error)
}

// Steer orders engines to hold what is declared; when it is closed, its lease lapses by itself.
type Steer struct {
	*wait.Loop
	self    string
	store   store.Store
	roles   Roles
	source  Source
	engines engine.Client
	log     log.Interface
	orders  *metrics.Counter
	stale   *metrics.Counter

	seen  fence.Seen // seen is owned by the loop.
	taken time.Time  // taken is when this instance took the lease; owned by the loop.
	next  int        // next is where the next round of targets begins; owned by the loop.
}

// New returns a controller that orders engines while it holds the lease.
func New(self string, platform store.Store, roles Roles, source Source, engines engine.Client, logger log.Interface, set *metrics.Set) *Steer {
	s := &Steer{
		self:    self,
		store:   platform,
		roles:   roles,
		source:  source,
		engines: engines,
		log:     logger,
		orders:  set.GetOrCreateCounter("bramleywharf_engine_orders_total"),
		stale:   set.GetOrCreateCounter("bramleywharf_engine_orders_refused_total"),
	}
	s.Loop = wait.Start(s.loop)
	return s
}

// extend writes the lease with this instance as its holder.
func (s *Steer) extend(ctx context.Context, l fence.Lease, fresh bool) {
	raw, err := json.Marshal(l)
	if err != nil {
		s.log.WithError(err).Error("lease cannot be encoded")
		return
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, fence.Renew)
	defer cancel()
	o := store.Object{Kind: kindLease, Name: leaseName, Revision: s.seen.Revision}
	revision, err := store.Settled{Store: s.store}.Put(ctx, o.WithValue(token.NewID(), raw))
	if err != nil {
		s.read(ctx)
		return
	}
	s.seen = s.seen.WithHold(l, revision, asked)
	if fresh {
		s.taken = time.Now()
		s.log.WithField("fencing-number", l.Number).Info("holds the lease for engine orders")
	}
}

// loop keeps the lease and carries out a round of orders.
func (s *Steer) loop(ctx context.Context) {
	tick := time.NewTicker(fence.Renew)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		wants := s.roles.Elected("steer", 1)
		if wants && s.seen.Until.IsZero() {
			s.read(ctx)
		}
		switch step := fence.Decide(s.seen, s.self, wants, time.Now()).(type) {
		case fence.Take:
			s.extend(ctx, step.Lease, true)
		case fence.Extend:
			s.extend(ctx, step.Lease, false)
		}
		s.round(ctx)
	}
}

// read learns who holds the lease.
func (s *Steer) read(ctx context.Context) {
	o, err := s.store.Get(ctx, kindLease, leaseName)
	if err != nil {
		s.log.WithError(err).Debug("lease is not known; asking again")
		return
	}
	var l fence.Lease
	if err := json.Unmarshal(o.Value, &l); err != nil {
		s.log.WithError(err).Error("lease cannot be read")
		return
	}
	s.seen = s.seen.WithLease(l, o.Revision, time.Now())
}

// reconcile reads back what an engine holds and orders what is declared, and tells whether it ordered a load.
func (s *Steer) reconcile(ctx context.Context, t conf.Target) (ordered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, fence.OrderBound)
	defer cancel()
	report, err := s.engines.Load(ctx, t.Address)
	if err != nil {
		return false, fmt.Errorf("read back %s: %w", t.Name, err)
	}
	wanted := slices.Sorted(slices.Values(t.Models))
	if slices.Equal(slices.Sorted(slices.Values(report.Models)), wanted) {
		return false, nil
	}
	if !fence.May(s.seen, s.self, kindOf(t), s.taken, time.Now()) {
		return false, nil
	}
	s.orders.Inc()
	err = s.engines.Order(ctx, t.Address, engine.Order{Fence: s.seen.Lease.Number, Models: wanted})
	if errors.Is(err, engine.ErrFenced) {
		s.stale.Inc()
	}
	return true, err
}

// round goes on through the engines until enough loads are ordered.
func (s *Steer) round(ctx context.Context) {
	if s.seen.Lease.Holder != s.self || s.seen.Until.IsZero() {
		return
	}
	snapshot, err := s.source.Current()
	if err != nil {
		s.log.WithError(err).Debug("no orders while the configuration is not known")
		return
	}
	targets := slices.DeleteFunc(snapshot.Targets(), func(t conf.Target) bool { return len(t.Models) == 0 || t.Leaving })
	loads := 0
	for range min(len(targets), readsAtOnce) {
		t := targets[s.next%len(targets)]
		s.next++
		ordered, err := s.reconcile(ctx, t)
		if err != nil {
			s.log.WithError(err).WithField("target", t.Name).Debug("order failed")
		}
		if ordered {
			loads++
		}
		if loads == loadsAtOnce || time.Now().Add(fence.OrderBound).After(s.seen.Until) {
			return
		}
	}
}

// kindOf returns how a target treats fencing numbers.
func kindOf(t conf.Target) fence.Engine {
	if t.IgnoresFencing {
		return fence.Ignoring{}
	}
	return fence.Checking{}
}
