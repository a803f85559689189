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

// question is what one lender is asked in one message.
type question struct {
	to       member.Member
	wants    []wire.Want
	accounts []*account
}

// loop renews what is held and borrows what is needed.
func (l *Lend) loop(ctx context.Context) {
	tick := time.NewTicker(renewPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.kick:
			wait.For(ctx, kickPause)
		}
		l.borrow(ctx)
		l.mu.Lock()
		l.tenure.observe(l.fleet.View(), time.Now())
		l.mu.Unlock()
	}
}

// ask sends one lender its question and takes the grants.
func (l *Lend) ask(ctx context.Context, q *question) {
	sent := l.now()
	m := wire.Borrow{From: l.fleet.Self().Name, Wants: q.wants}
	var answer wire.Message
	var err error
	if q.to.Name == m.From {
		answer = l.Handle(m)
	} else {
		ctx, cancel := context.WithTimeout(ctx, borrowBound)
		defer cancel()
		answer, err = l.net.Ask(ctx, q.to.PeerAddress, m)
	}
	lent, ok := answer.(wire.Lent)
	if err != nil || !ok || len(lent.Slots) != len(q.wants) {
		l.fall(q)
		return
	}
	for i, a := range q.accounts {
		a.set(lent.Slots[i], sent+lent.Life)
	}
}

// borrow asks each lender for the slots of its organisations.
func (l *Lend) borrow(ctx context.Context) {
	view := l.fleet.View()
	questions := make(map[string]*question)
	l.accounts.Range(func(key, value any) bool {
		organisation, a := key.(string), value.(*account)
		to, ok := lender(view, organisation)
		if !ok || l.idle(a) {
			return true
		}
		q := questions[to.Name]
		if q == nil {
			q = &question{to: to}
			questions[to.Name] = q
		}
		q.wants = append(q.wants, wire.Want{
			Organisation: organisation,
			Running:      int(a.running.Load()),
			Held:         int(a.valid(l.now())),
			Wanted:       a.wanted(),
		})
		q.accounts = append(q.accounts, a)
		return true
	})
	var group sync.WaitGroup
	for _, q := range questions {
		group.Go(func() { l.ask(ctx, q) })
	}
	group.Wait()
}

// fall gives lapsed accounts the part of the ceiling that may be spent without a lender.
func (l *Lend) fall(q *question) {
	rank, members := l.place()
	for i, a := range q.accounts {
		if a.valid(l.now()) > 0 {
			continue
		}
		voted, _, ok := l.source.Snapshot().Limit(q.wants[i].Organisation)
		if !ok {
			continue
		}
		l.floors.Inc()
		a.set(limit.Floor(voted.Ceiling, rank, members), l.now()+renewPeriod+borrowBound)
	}
}

// idle tells whether an account is unused for long, so that it lapses.
func (l *Lend) idle(a *account) bool {
	unused := l.now() - time.Duration(a.used.Load())
	return a.running.Load() == 0 && a.waiting.Load() == 0 && unused > idleAfter
}

// place returns this instance's rank among all members known, dead ones included, and their number.
func (l *Lend) place() (rank, members int) {
	view := l.fleet.View()
	self := l.fleet.Self().Name
	for _, m := range view.Live() {
		if m.Name < self {
			rank++
		}
	}
	return rank, view.Expected()
}
