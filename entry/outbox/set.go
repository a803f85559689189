package outbox

import (
	"sync"
	"time"

	"bramleywharf.example/core/quota"
	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/chain"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// Set holds the boxes of all streams of an instance.
type Set struct {
	budget *quota.Budget
	log    log.Interface
	cuts   *metrics.Counter

	mu    sync.Mutex
	boxes map[*Box]string // boxes maps the boxes to the ids of their requests.
}

// NewSet returns a set without boxes, which take their memory from a budget.
func NewSet(budget *quota.Budget, logger log.Interface, set *metrics.Set) *Set {
	s := &Set{budget: budget, log: logger, cuts: set.GetOrCreateCounter("bramleywharf_slow_readers_cut_total"), boxes: make(map[*Box]string)}
	set.NewGauge("bramleywharf_unread_bytes", func() float64 { return float64(s.held()) })
	return s
}

// Open returns a box in front of the outlet of a request's caller. It must be closed.
func (s *Set) Open(request string, outlet chain.Outlet) *Box {
	b := &Box{
		set:     s,
		outlet:  outlet,
		account: s.budget.Open(),
		wake:    make(chan struct{}, 1),
		freed:   make(chan struct{}, 1),
	}
	s.mu.Lock()
	s.boxes[b] = request
	s.mu.Unlock()
	b.Loop = wait.Start(b.write)
	return b
}

// held returns the number of bytes that callers have not read.
func (s *Set) held() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum int64
	for b := range s.boxes {
		sum += b.held
	}
	return sum
}

// relieve cuts one reader if memory is short and one of them does not read.
func (s *Set) relieve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.IsShort(maxHeld) {
		return
	}
	now := time.Now()
	boxes := make([]*Box, 0, len(s.boxes))
	readers := make([]quota.Reader, 0, len(s.boxes))
	for b := range s.boxes {
		if b.err == nil {
			boxes = append(boxes, b)
			readers = append(readers, quota.Reader{Held: b.held, Stalled: now.Sub(b.progressAt)})
		}
	}
	victim, ok := quota.ChooseVictim(readers)
	if !ok {
		return
	}
	b := boxes[victim]
	b.err = ErrCut
	b.outlet.Abort()
	notify(b.wake)
	notify(b.freed)
	s.cuts.Inc()
	s.log.WithFields(log.Fields{"request": s.boxes[b], "held": b.held, "stalled-ms": readers[victim].Stalled.Milliseconds(), "readers": len(readers)}).
		Warn("caller that does not read is cut since memory is short")
}

func (s *Set) remove(b *Box) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.boxes, b)
}
