package lend

import (
	"context"
	"sync"
	"time"

	"bramleywharf.example/core/limit"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/core/wire"
)

// borrowRequest asks one lender for slots of several organisations; demands and accounts have the same order.
type borrowRequest struct {
	lender   member.Member
	demands  []wire.SlotDemand
	accounts []*account
}

// loop renews grants and borrows slots that are needed until the controller is closed.
func (l *Lend) loop(ctx context.Context) {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.borrowNow:
			wait.Sleep(ctx, batchDelay)
		}
		l.borrow(ctx)
		l.mu.Lock()
		l.history.observe(l.fleet.View(), time.Now())
		l.mu.Unlock()
	}
}

// borrowFrom sends a request to its lender and applies the grants, or the fallback slots if the lender does not answer.
func (l *Lend) borrowFrom(ctx context.Context, r *borrowRequest) {
	sentAt := l.elapsed()
	m := wire.BorrowSlots{From: l.fleet.Self().Name, Demands: r.demands}
	var answer wire.Message
	var err error
	if r.lender.Name == m.From {
		answer = l.Handle(m)
	} else {
		ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		answer, err = l.peers.Call(ctx, r.lender.PeerAddress, m)
	}
	grants, ok := answer.(wire.SlotGrants)
	if err != nil || !ok || len(grants.Slots) != len(r.demands) {
		l.grantFallbackSlots(r)
		return
	}
	for i, a := range r.accounts {
		a.setGrant(grants.Slots[i], sentAt+grants.TTL)
	}
}

// borrow asks the lenders for the slots that this instance needs, with one message per lender.
func (l *Lend) borrow(ctx context.Context) {
	view := l.fleet.View()
	requests := make(map[string]*borrowRequest)
	l.accounts.Range(func(key, value any) bool {
		organisation, a := key.(string), value.(*account)
		lender, ok := lenderOf(view, organisation)
		if !ok || l.isIdle(a) {
			return true
		}
		r := requests[lender.Name]
		if r == nil {
			r = &borrowRequest{lender: lender}
			requests[lender.Name] = r
		}
		r.demands = append(r.demands, wire.SlotDemand{
			Organisation: organisation,
			Running:      int(a.running.Load()),
			Held:         int(a.usableSlots(l.elapsed())),
			Wanted:       a.wantedSlots(),
		})
		r.accounts = append(r.accounts, a)
		return true
	})
	var group sync.WaitGroup
	for _, r := range requests {
		group.Go(func() { l.borrowFrom(ctx, r) })
	}
	group.Wait()
}

// grantFallbackSlots grants expired accounts the part of the ceiling that each instance may use without a lender.
func (l *Lend) grantFallbackSlots(r *borrowRequest) {
	rank, members := l.rankByName()
	for i, a := range r.accounts {
		if a.usableSlots(l.elapsed()) > 0 {
			continue
		}
		orgLimit, _, ok := l.config.Snapshot().LimitOf(r.demands[i].Organisation)
		if !ok {
			continue
		}
		l.fallbackGrants.Inc()
		a.setGrant(limit.FallbackSlots(orgLimit.Ceiling, rank, members), l.elapsed()+renewInterval+borrowTimeout)
	}
}

// isIdle tells whether an account has been unused for idleTimeout.
func (l *Lend) isIdle(a *account) bool {
	unused := l.elapsed() - time.Duration(a.lastUse.Load())
	return a.running.Load() == 0 && a.waiting.Load() == 0 && unused > idleTimeout
}

// rankByName returns this instance's rank by name among the members that are not dead, and the number of members that
// should be there: all but those that died after they had announced that they were leaving.
func (l *Lend) rankByName() (rank, members int) {
	view := l.fleet.View()
	self := l.fleet.Self().Name
	for _, m := range view.Live() {
		if m.Name < self {
			rank++
		}
	}
	return rank, view.ExpectedCount()
}
