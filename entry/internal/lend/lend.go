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
	renewInterval = time.Second            // renewInterval must stay well below limit.SliceLifetime.
	batchDelay    = 5 * time.Millisecond   // batchDelay lets requests that need slots at once share a message.
	borrowTimeout = 700 * time.Millisecond // borrowTimeout bounds one exchange with a lender.
	idleTimeout   = 10 * time.Second       // idleTimeout is when the slots of an unused account are no longer renewed.
	// acquireTimeout bounds the wait for a slot. A new lender grants nothing new for limit.SliceLifetime +
	// limit.ClockMargin.
	acquireTimeout  = limit.SliceLifetime + limit.ClockMargin + time.Second
	recheckInterval = 50 * time.Millisecond // recheckInterval is how often a waiting request checks without being woken.
	maxWaiters      = 64                    // maxWaiters bounds the requests of one organisation that wait here.
)

// ErrCeiling is returned when no slot of an organisation's ceiling is free.
var ErrCeiling = errors.New("ceiling of the organisation is reached")

// Fleet gives access to the members, one of which is the lender of an organisation.
type Fleet interface {
	// Self returns this instance.
	Self() member.Member
	// View returns the members as this instance knows them.
	View() member.View
}

// Source gives access to the configured ceilings.
type Source interface {
	// Snapshot returns the last known configuration, however old.
	Snapshot() *conf.Snapshot
}

// Lend borrows slots for this instance and lends them to others.
type Lend struct {
	*wait.Loop
	fleet          Fleet
	config         Source
	peers          peer.Client
	startedAt      time.Time
	accounts       sync.Map // accounts maps organisations to their *account.
	borrowNow      chan struct{}
	refusals       *metrics.Counter
	fallbackGrants *metrics.Counter

	mu      sync.Mutex
	books   map[string]limit.Book // books maps organisations to what was lent of their ceilings.
	history lenderHistory
}

// New returns a running controller.
func New(fleet Fleet, config Source, peers peer.Client, set *metrics.Set) *Lend {
	l := &Lend{
		fleet:          fleet,
		config:         config,
		peers:          peers,
		startedAt:      time.Now(),
		borrowNow:      make(chan struct{}, 1),
		books:          make(map[string]limit.Book),
		history:        lenderHistory{self: fleet.Self().Name, startedAt: time.Now()},
		refusals:       set.GetOrCreateCounter("bramleywharf_ceiling_refusals_total"),
		fallbackGrants: set.GetOrCreateCounter("bramleywharf_ceiling_floors_total"),
	}
	l.Loop = wait.Start(l.loop)
	return l
}

// Acquire takes a slot of an organisation's ceiling; if none is free, it waits for one for up to acquireTimeout.
func (l *Lend) Acquire(ctx context.Context, organisation string) (release func(), err error) {
	a := l.accountOf(organisation)
	a.lastUse.Store(int64(l.elapsed()))
	if a.tryAcquire(l.elapsed()) {
		return a.release, nil
	}
	if a.waiting.Add(1) > maxWaiters {
		a.waiting.Add(-1)
		l.refusals.Inc()
		return nil, ErrCeiling
	}
	defer a.waiting.Add(-1)
	l.triggerBorrow()
	return l.waitForSlot(ctx, a)
}

// Handle answers a member that borrows slots.
func (l *Lend) Handle(request wire.BorrowSlots) wire.Message {
	answer := wire.SlotGrants{TTL: limit.SliceLifetime}
	for _, demand := range request.Demands {
		answer.Slots = append(answer.Slots, l.grant(request.From, demand))
	}
	return answer
}

// Take takes a slot even if none is free, so that more slots may be in use than were granted.
func (l *Lend) Take(organisation string) (release func()) {
	a := l.accountOf(organisation)
	a.lastUse.Store(int64(l.elapsed()))
	a.running.Add(1)
	return a.release
}

// accountOf returns the account of an organisation, which it creates if need be.
func (l *Lend) accountOf(organisation string) *account {
	if a, ok := l.accounts.Load(organisation); ok {
		return a.(*account)
	}
	a, _ := l.accounts.LoadOrStore(organisation, newAccount())
	return a.(*account)
}

// grant decides how many slots of an organisation's ceiling a borrower gets.
func (l *Lend) grant(from string, demand wire.SlotDemand) int {
	now := time.Now()
	orgLimit, _, ok := l.config.Snapshot().LimitOf(demand.Organisation)
	if !ok {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.observe(l.fleet.View(), now)
	book, ok := l.books[demand.Organisation]
	if since := l.history.lenderSince(demand.Organisation); !ok || book.Start().Before(since) {
		book = limit.NewBook(since)
	}
	request := limit.Request{Borrower: from, Running: demand.Running, Held: demand.Held, Wanted: demand.Wanted}
	var granted int
	l.books[demand.Organisation], granted = book.WithRequest(request, orgLimit.Ceiling, now)
	return granted
}

// elapsed returns the time since the controller started, by the monotonic clock.
func (l *Lend) elapsed() time.Duration {
	return time.Since(l.startedAt)
}

// waitForSlot waits until a slot is free and takes it.
func (l *Lend) waitForSlot(ctx context.Context, a *account) (func(), error) {
	timeout := time.NewTimer(acquireTimeout)
	defer timeout.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			l.refusals.Inc()
			return nil, ErrCeiling
		case <-recheck.C:
		case <-a.wakeups:
		}
		if a.tryAcquire(l.elapsed()) {
			a.wakeWaiter()
			return a.release, nil
		}
	}
}

// triggerBorrow makes the loop borrow without waiting for the next renewal.
func (l *Lend) triggerBorrow() {
	select {
	case l.borrowNow <- struct{}{}:
	default:
	}
}

// lenderOf returns the member that lends an organisation's ceiling.
func lenderOf(view member.View, organisation string) (member.Member, bool) {
	return view.Get(chooseLender(organisation, lenderCandidates(view)))
}
