package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/fair"
	"github.com/VictoriaMetrics/metrics"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// fakeCapacity is a Capacity with a settable number of slots.
type fakeCapacity struct {
	slots, inUse atomic.Int64
}

// Free returns the number of unused slots for any model.
func (s *fakeCapacity) Free(string) int {
	return int(s.slots.Load() - s.inUse.Load())
}

// runCaller runs one generation of an organisation after another and counts those served.
func runCaller(ctx context.Context, g *Gate, capacity *fakeCapacity, organisation string, share float64, served *atomic.Int64) {
	for ctx.Err() == nil {
		entered, err := g.Enter(ctx, organisation, "m", share)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		capacity.inUse.Add(1)
		entered()
		time.Sleep(time.Second)
		capacity.inUse.Add(-1)
		served.Add(1)
	}
}

// TestFairness checks that organisations with uneven demand for few slots are served by their shares.
func TestFairness(t *testing.T) {
	cases := map[string]struct {
		callers      map[string]int // callers maps an organisation to its number of callers.
		shares       map[string]float64
		wantFraction map[string]float64
	}{
		"shares-differ":        {callers: map[string]int{"a": 20, "b": 60}, shares: map[string]float64{"a": 75, "b": 25}, wantFraction: map[string]float64{"a": 0.75, "b": 0.25}},
		"equal-shares":         {callers: map[string]int{"a": 100, "b": 20}, shares: map[string]float64{"a": 50, "b": 50}, wantFraction: map[string]float64{"a": 0.5, "b": 0.5}},
		"unused-share-is-lent": {callers: map[string]int{"a": 1, "b": 40}, shares: map[string]float64{"a": 75, "b": 25}, wantFraction: map[string]float64{"b": 0.88}},
	}
	const tolerance = 0.05
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Nanosecond)
				capacity := &fakeCapacity{}
				capacity.slots.Store(8)
				g := New(capacity, metrics.NewSet())
				ctx, stop := context.WithTimeout(t.Context(), 200*time.Second)
				defer stop()
				var group sync.WaitGroup
				served := make(map[string]*atomic.Int64)
				for organisation, callers := range test.callers {
					count := new(atomic.Int64)
					served[organisation] = count
					for range callers {
						group.Go(func() { runCaller(ctx, g, capacity, organisation, test.shares[organisation], count) })
					}
				}
				group.Wait()
				g.Close()
				total := 0.0
				for _, n := range served {
					total += float64(n.Load())
				}
				for organisation, wantFraction := range test.wantFraction {
					got := float64(served[organisation].Load()) / total
					c.Assert(got > wantFraction-tolerance && got < wantFraction+tolerance, quicktest.IsTrue, quicktest.Commentf("%s got %.3f of %.3f", organisation, got, wantFraction))
				}
				c.Assert(capacity.inUse.Load(), quicktest.Equals, int64(0))
			})
		})
	}
}

// TestEnter checks how long a generation waits and with which result, depending on when a slot is free.
func TestEnter(t *testing.T) {
	cases := map[string]struct {
		freeSlots    int64
		opensAfter   time.Duration // opensAfter is when a slot becomes free, or 0 for never.
		givesUpAfter time.Duration // givesUpAfter is when the caller gives up, or 0 for never.
		wantErr      error
		minWait      time.Duration
		maxWait      time.Duration
	}{
		"free-slot":         {freeSlots: 1, maxWait: 0},
		"slot-becomes-free": {opensAfter: time.Second, minWait: time.Second, maxWait: time.Second + 2*dispatchInterval},
		"no-free-slot":      {wantErr: fair.ErrLate, minWait: WaitBound, maxWait: WaitBound + 2*dispatchInterval},
		"caller-gives-up":   {givesUpAfter: time.Second, wantErr: context.DeadlineExceeded, minWait: time.Second, maxWait: time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Nanosecond)
				capacity := &fakeCapacity{}
				capacity.slots.Store(test.freeSlots)
				if test.opensAfter > 0 {
					time.AfterFunc(test.opensAfter, func() { capacity.slots.Store(1) })
				}
				g := New(capacity, metrics.NewSet())
				defer g.Close()
				ctx := t.Context()
				if test.givesUpAfter > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, test.givesUpAfter)
					defer cancel()
				}
				began := time.Now()
				_, err := g.Enter(ctx, "a", "m", 1)
				waited := time.Since(began)
				c.Assert(errors.Is(err, test.wantErr), quicktest.IsTrue, quicktest.Commentf("%v", err))
				c.Assert(waited >= test.minWait && waited <= test.maxWait, quicktest.IsTrue, quicktest.Commentf("%s", waited))
			})
		})
	}
}
