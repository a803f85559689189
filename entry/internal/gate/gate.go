package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/fair"
	"bramleywharf.example/core/wait"
	"github.com/VictoriaMetrics/metrics"
)

const (
	dispatchInterval = 50 * time.Millisecond
	// WaitBound is the longest that a generation waits for an engine.
	WaitBound     = 20 * time.Second
	minRateWindow = 5 * time.Second // minRateWindow is how long the queue must be busy before serviceRate is estimated.
)

// Capacity tells how many generations the watched engines can take.
type Capacity interface {
	// Free returns the number of free slots for a model, as far as this instance knows.
	Free(model string) int
}

// Gate queues generations until an engine has a free slot; closing it refuses those that wait.
type Gate struct {
	*wait.Loop
	capacity          Capacity
	queue             *cell.Cell[fair.Queue]
	waiters           sync.Map     // waiters maps a ticket's id to a channel that receives once whether it is admitted.
	pendingByModel    sync.Map     // pendingByModel maps a model to an *atomic.Int64, see pendingCount.
	serviceRate       atomic.Int64 // serviceRate is the admissions per 1000 seconds, or 0 while it is not known.
	busySince         time.Time    // busySince is when the queue stopped being empty, or zero; only the loop uses it.
	admittedSinceBusy int          // admittedSinceBusy counts admissions since then; only the loop uses it.
	shedTotal         *metrics.Counter
	queueSeconds      *metrics.Histogram
}

// New returns a gate that admits generations up to the capacity and registers its metrics in the set.
func New(capacity Capacity, set *metrics.Set) *Gate {
	g := &Gate{
		capacity:     capacity,
		queue:        cell.New(fair.Queue{}),
		shedTotal:    set.GetOrCreateCounter("bramleywharf_queue_shed_total"),
		queueSeconds: set.GetOrCreateHistogram("bramleywharf_queue_seconds"),
	}
	set.NewGauge("bramleywharf_queue_length", func() float64 { return float64(g.queue.Load().Len()) })
	g.Loop = wait.Start(g.loop)
	return g
}

// Enter waits until an engine has a free slot for a generation of an organisation. The caller must call entered once
// the generation holds a target. The error is fair.ErrFull, fair.ErrLate or that of the context.
func (g *Gate) Enter(ctx context.Context, organisation, model string, share float64) (entered func(), err error) {
	if g.queue.Load().Len() == 0 && g.availableSlots(model) > 0 {
		return g.admit(model), nil
	}
	enqueuedAt := time.Now()
	ticket, admitted, err := g.enqueue(organisation, model, share, enqueuedAt.Add(WaitBound))
	if err != nil {
		g.shedTotal.Inc()
		return nil, err
	}
	defer g.waiters.Delete(ticket.ID)
	select {
	case ok := <-admitted:
		if ok {
			g.queueSeconds.Update(time.Since(enqueuedAt).Seconds())
			return g.enteredFunc(model), nil
		}
		err = fair.ErrLate
	case <-ctx.Done():
		g.withdraw(ticket, admitted)
		err = ctx.Err()
	case <-g.Done():
		err = fair.ErrLate
	}
	g.shedTotal.Inc()
	return nil, err
}

// enqueue adds a ticket to the queue, unless its estimated wait goes beyond the deadline.
func (g *Gate) enqueue(organisation, model string, share float64, deadline time.Time) (ticket fair.Ticket, admitted chan bool, err error) {
	admitted = make(chan bool, 1)
	serviceRate := float64(g.serviceRate.Load()) / 1000
	g.queue.Update(func(q fair.Queue) fair.Queue {
		if serviceRate > 0 && q.EstimateWait(organisation, share, serviceRate) > time.Until(deadline) {
			err = fair.ErrLate
			return q
		}
		q, ticket, err = q.WithTicket(organisation, model, share, deadline)
		if err == nil {
			g.waiters.Store(ticket.ID, admitted)
		}
		return q
	})
	return ticket, admitted, err
}

// enteredFunc returns the function to call once an admitted generation holds a target; further calls do nothing.
func (g *Gate) enteredFunc(model string) func() {
	var once sync.Once
	return func() { once.Do(func() { g.pendingCount(model).Add(-1) }) }
}

// loop dispatches waiting generations until the context ends.
func (g *Gate) loop(ctx context.Context) {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.dispatch()
		}
	}
}

// dispatch refuses expired tickets and admits as many others as there are free slots.
func (g *Gate) dispatch() {
	if g.queue.Load().Len() == 0 {
		g.busySince, g.admittedSinceBusy = time.Time{}, 0
		g.serviceRate.Store(0)
		return
	}
	if g.busySince.IsZero() {
		g.busySince = time.Now()
	}
	var expired []fair.Ticket
	g.queue.Update(func(q fair.Queue) fair.Queue {
		q, expired = q.WithoutExpired(time.Now())
		return q
	})
	for _, t := range expired {
		g.notify(t, false)
	}
	for g.admitNext() {
		g.admittedSinceBusy++
	}
	g.updateRate()
}

// updateRate estimates the service rate over the time since the queue stopped being empty.
func (g *Gate) updateRate() {
	elapsed := time.Since(g.busySince)
	if elapsed < minRateWindow {
		return
	}
	g.serviceRate.Store(int64(float64(max(g.admittedSinceBusy, 1)) / elapsed.Seconds() * 1000))
}

// admitNext admits the next generation for whose model there is a free slot, and tells whether there was one.
func (g *Gate) admitNext() bool {
	var ticket fair.Ticket
	var ok bool
	g.queue.Update(func(q fair.Queue) fair.Queue {
		q, ticket, ok = q.WithoutNext(func(model string) bool { return g.availableSlots(model) > 0 })
		return q
	})
	if !ok {
		return false
	}
	g.pendingCount(ticket.Model).Add(1)
	g.notify(ticket, true)
	return true
}

// pendingCount returns the counter of a model's generations that are admitted but hold no target yet.
func (g *Gate) pendingCount(model string) *atomic.Int64 {
	c, ok := g.pendingByModel.Load(model)
	if !ok {
		c, _ = g.pendingByModel.LoadOrStore(model, new(atomic.Int64))
	}
	return c.(*atomic.Int64)
}

// admit admits a generation without queueing and returns its entered function.
func (g *Gate) admit(model string) func() {
	g.pendingCount(model).Add(1)
	return g.enteredFunc(model)
}

// availableSlots returns the free slots for a model that no pending generation will take.
func (g *Gate) availableSlots(model string) int {
	return g.capacity.Free(model) - int(g.pendingCount(model).Load())
}

// notify tells a waiting generation whether it is admitted.
func (g *Gate) notify(t fair.Ticket, ok bool) {
	if admitted, isWaiting := g.waiters.Load(t.ID); isWaiting {
		admitted.(chan bool) <- ok
	}
}

// withdraw removes a ticket from the queue, or gives its slot back if it was admitted meanwhile.
func (g *Gate) withdraw(t fair.Ticket, admitted <-chan bool) {
	queued := false
	g.queue.Update(func(q fair.Queue) fair.Queue {
		q, queued = q.WithoutTicket(t.ID)
		return q
	})
	if !queued && <-admitted {
		g.enteredFunc(t.Model)()
	}
}
