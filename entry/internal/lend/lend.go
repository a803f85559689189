package lend

import (
	"context"
	"sync"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/limit"
	"bramleywharf.example/core/member"
	"bramleywharf.example/core/peer"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

const (
	renewPeriod  = time.Second                             // renewPeriod is the time between two renewals, well under limit.Life.
	kickPause    = 5 * time.Millisecond                    // kickPause gathers requests that need slots at the same time.
	borrowBound  = 700 * time.Millisecond                  // borrowBound bounds one question to a lender.
	idleAfter    = 10 * time.Second                        // idleAfter is when an unused account is given back.
	waitBound    = limit.Life + limit.Margin + time.Second // waitBound bounds how long a request waits for a slot: longer than a new lender's quiet time.
	lookAgain    = 50 * time.Millisecond                   // lookAgain is how often a waiting request looks by itself.
	waitersBound = 64                                      // waitersBound bounds the requests of one organisation that wait here.
)

// ErrCeiling is returned when no slot of an organisation's ceiling is free.
var ErrCeiling = errors.New("ceiling of the organisation is reached")

// Fleet gives the members, one of which lends.
type Fleet interface {
	// Self returns this instance.
	Self() member.Member
	// View returns the members.
	View() member.View
}

// Source gives the ceilings in force.
type Source interface {
	// Snapshot returns the snapshot in force, however old.
	Snapshot() *conf.Snapshot
}

// Lend borrows slots for this instance and lends them to others.
type Lend struct {
	*wait.Loop
	fleet    Fleet
	source   Source
	net      peer.Net
	began    time.Time
	accounts sync.Map // accounts holds an *account for each organisation used here.
	kick     chan struct{}
	refused  *metrics.Counter
	floors   *metrics.Counter

	mu     sync.Mutex
	books  map[string]limit.Book
	tenure tenure
}

// New returns a controller that borrows and lends.
func New(fleet Fleet, source Source, net peer.Net, set *metrics.Set) *Lend {
	l := &Lend{
		fleet:   fleet,
		source:  source,
		net:     net,
		began:   time.Now(),
		kick:    make(chan struct{}, 1),
		books:   make(map[string]limit.Book),
		tenure:  tenure{self: fleet.Self().Name, began: time.Now()},
		refused: set.GetOrCreateCounter("bramleywharf_ceiling_refusals_total"),
		floors:  set.GetOrCreateCounter("bramleywharf_ceiling_floors_total"),
	}
	l.Loop = wait.Start(l.loop)
	return l
}

// Acquire takes a slot of an organisation's ceiling, waiting a little for one to be lent.
func (l *Lend) Acquire(ctx context.Context, organisation string) (release func(), err error) {
	a := l.account(organisation)
	a.used.Store(int64(l.now()))
	if a.spend(l.now()) {
		return a.release, nil
	}
	if a.waiting.Add(1) > waitersBound {
		a.waiting.Add(-1)
		l.refused.Inc()
		return nil, ErrCeiling
	}
	defer a.waiting.Add(-1)
	l.wake()
	return l.wait(ctx, a)
}

// Handle lends to a borrower.
func (l *Lend) Handle(b wire.Borrow) wire.Message {
	answer := wire.Lent{Life: limit.Life}
	for _, w := range b.Wants {
		answer.Slots = append(answer.Slots, l.lend(b.From, w))
	}
	return answer
}

// Take takes a slot whether one is free or not.
func (l *Lend) Take(organisation string) (release func()) {
	a := l.account(organisation)
	a.used.Store(int64(l.now()))
	a.running.Add(1)
	return a.release
}

// account returns the account of an organisation.
func (l *Lend) account(organisation string) *account {
	if a, ok := l.accounts.Load(organisation); ok {
		return a.(*account)
	}
	a, _ := l.accounts.LoadOrStore(organisation, newAccount())
	return a.(*account)
}

// lend grants slots of one organisation's ceiling.
func (l *Lend) lend(from string, w wire.Want) int {
	now := time.Now()
	voted, _, ok := l.source.Snapshot().Limit(w.Organisation)
	if !ok {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tenure.observe(l.fleet.View(), now)
	book, ok := l.books[w.Organisation]
	if since := l.tenure.since(w.Organisation); !ok || book.Opened().Before(since) {
		book = limit.Open(since)
	}
	ask := limit.Ask{From: from, Running: w.Running, Held: w.Held, Wanted: w.Wanted}
	var granted int
	l.books[w.Organisation], granted = book.WithAsk(ask, voted.Ceiling, now)
	return granted
}

// now returns the time since the controller began, by the monotonic clock.
func (l *Lend) now() time.Duration {
	return time.Since(l.began)
}

// wait waits for a slot.
func (l *Lend) wait(ctx context.Context, a *account) (func(), error) {
	limit := time.NewTimer(waitBound)
	defer limit.Stop()
	again := time.NewTicker(lookAgain)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-limit.C:
			l.refused.Inc()
			return nil, ErrCeiling
		case <-again.C:
		case <-a.granted:
		}
		if a.spend(l.now()) {
			a.wake()
			return a.release, nil
		}
	}
}

// wake makes the loop borrow now.
func (l *Lend) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// lender returns the member that lends an organisation's ceiling.
func lender(view member.View, organisation string) (member.Member, bool) {
	return view.Get(first(organisation, candidates(view)))
}
