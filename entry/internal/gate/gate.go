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
	lookPeriod = 50 * time.Millisecond // lookPeriod is the time between two looks at the engines while somebody waits.
	// WaitBound is the longest that a generation waits for an engine.
	WaitBound = 20 * time.Second
	rateAfter = 5 * time.Second // rateAfter is how long generations must have waited without a break before the rate of service is judged.
)

// Capacity tells how much room the watched engines have.
type Capacity interface {
	// Free returns the free slots for a model by this instance's knowledge.
	Free(model string) int
}

// Gate lets generations pass to the engines; a closed one lets nobody pass any more.
type Gate struct {
	*wait.Loop
	capacity Capacity
	queue    *cell.Cell[fair.Queue]
	waiting  sync.Map     // waiting holds the channel of each ticket, which says once whether it may pass.
	granted  sync.Map     // granted holds an *atomic.Int64 for each model: generations let through that hold no engine yet.
	rate     atomic.Int64 // rate is the rate of service in tickets per 1000 seconds, or 0 while it is not known.
	busy     time.Time    // busy is since when somebody has waited without a break; owned by the loop.
	served   int          // served counts those let through since busy; owned by the loop.
	shed     *metrics.Counter
	queued   *metrics.Histogram
}

// New returns a gate before the engines.
func New(capacity Capacity, set *metrics.Set) *Gate {
	g := &Gate{
		capacity: capacity,
		queue:    cell.New(fair.Queue{}),
		shed:     set.GetOrCreateCounter("bramleywharf_queue_shed_total"),
		queued:   set.GetOrCreateHistogram("bramleywharf_queue_seconds"),
	}
	set.NewGauge("bramleywharf_queue_length", func() float64 { return float64(g.queue.Load().Len()) })
	g.Loop = wait.Start(g.loop)
	return g
}

// Enter waits until an engine has room for a generation of an organisation; the error wraps fair.ErrFull or fair.ErrLate.
func (g *Gate) Enter(ctx context.Context, organisation, model string, share float64) (entered func(), err error) {
	if g.queue.Load().Len() == 0 && g.room(model) > 0 {
		return g.pass(model), nil
	}
	began := time.Now()
	ticket, passed, err := g.enqueue(organisation, model, share, began.Add(WaitBound))
	if err != nil {
		g.shed.Inc()
		return nil, err
	}
	defer g.waiting.Delete(ticket.ID)
	select {
	case ok := <-passed:
		if ok {
			g.queued.Update(time.Since(began).Seconds())
			return g.leave(model), nil
		}
		err = fair.ErrLate
	case <-ctx.Done():
		g.withdraw(ticket, passed)
		err = ctx.Err()
	case <-g.Done():
		err = fair.ErrLate
	}
	g.shed.Inc()
	return nil, err
}

// enqueue adds a ticket, unless it would surely wait beyond its deadline.
func (g *Gate) enqueue(organisation, model string, share float64, deadline time.Time) (ticket fair.Ticket, passed chan bool, err error) {
	passed = make(chan bool, 1)
	rate := float64(g.rate.Load()) / 1000
	g.queue.Update(func(q fair.Queue) fair.Queue {
		if rate > 0 && q.Wait(organisation, share, rate) > time.Until(deadline) {
			err = fair.ErrLate
			return q
		}
		q, ticket, err = q.WithTicket(organisation, model, share, deadline)
		if err == nil {
			g.waiting.Store(ticket.ID, passed)
		}
		return q
	})
	return ticket, passed, err
}

// leave returns what a generation calls that was let through, once it holds an engine.
func (g *Gate) leave(model string) func() {
	var once sync.Once
	return func() { once.Do(func() { g.counter(model).Add(-1) }) }
}

// loop lets waiting generations pass while engines have room.
func (g *Gate) loop(ctx context.Context) {
	tick := time.NewTicker(lookPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.look()
		}
	}
}

// look lets as many pass as there is room for.
func (g *Gate) look() {
	if g.queue.Load().Len() == 0 {
		g.busy, g.served = time.Time{}, 0
		g.rate.Store(0)
		return
	}
	if g.busy.IsZero() {
		g.busy = time.Now()
	}
	var expired []fair.Ticket
	g.queue.Update(func(q fair.Queue) fair.Queue {
		q, expired = q.WithoutExpired(time.Now())
		return q
	})
	for _, t := range expired {
		g.tell(t, false)
	}
	for g.letOne() {
		g.served++
	}
	g.judge()
}

// judge works out the rate of service of the time in which somebody has waited.
func (g *Gate) judge() {
	elapsed := time.Since(g.busy)
	if elapsed < rateAfter {
		return
	}
	g.rate.Store(int64(float64(max(g.served, 1)) / elapsed.Seconds() * 1000))
}

// letOne lets the next generation pass that an engine has room for.
func (g *Gate) letOne() bool {
	var ticket fair.Ticket
	var ok bool
	g.queue.Update(func(q fair.Queue) fair.Queue {
		q, ticket, ok = q.WithoutFirst(func(model string) bool { return g.room(model) > 0 })
		return q
	})
	if !ok {
		return false
	}
	g.counter(ticket.Model).Add(1)
	g.tell(ticket, true)
	return true
}

// counter returns the count of a model's generations that were let through and hold no engine yet.
func (g *Gate) counter(model string) *atomic.Int64 {
	c, ok := g.granted.Load(model)
	if !ok {
		c, _ = g.granted.LoadOrStore(model, new(atomic.Int64))
	}
	return c.(*atomic.Int64)
}

// pass lets a generation through that found room.
func (g *Gate) pass(model string) func() {
	g.counter(model).Add(1)
	return g.leave(model)
}

// room returns the free slots of a model that nobody was let through to.
func (g *Gate) room(model string) int {
	return g.capacity.Free(model) - int(g.counter(model).Load())
}

// tell tells a waiting generation whether it may pass.
func (g *Gate) tell(t fair.Ticket, ok bool) {
	if passed, waits := g.waiting.Load(t.ID); waits {
		passed.(chan bool) <- ok
	}
}

// withdraw gives up a ticket, or the passage that it was told of meanwhile.
func (g *Gate) withdraw(t fair.Ticket, passed <-chan bool) {
	found := false
	g.queue.Update(func(q fair.Queue) fair.Queue {
		q, found = q.WithoutTicket(t.ID)
		return q
	})
	if !found && <-passed {
		g.leave(t.Model)()
	}
}
