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

// slots is a capacity of some slots.
type slots struct {
	size, used atomic.Int64
}

// Free returns the slots not used.
func (s *slots) Free(string) int {
	return int(s.size.Load() - s.used.Load())
}

// serve runs a caller of an organisation that always has another generation, and counts those served.
func serve(ctx context.Context, g *Gate, s *slots, organisation string, share float64, served *atomic.Int64) {
	for ctx.Err() == nil {
		entered, err := g.Enter(ctx, organisation, "m", share)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		s.used.Add(1)
		entered()
		time.Sleep(time.Second)
		s.used.Add(-1)
		served.Add(1)
	}
}

// TestFairness lets organisations with uneven demand compete for few slots and compares what they got with their shares.
func TestFairness(t *testing.T) {
	cases := map[string]struct {
		callers map[string]int // callers is the number of callers of each organisation.
		shares  map[string]float64
		want    map[string]float64
	}{
		"by-share-whatever-the-demand": {callers: map[string]int{"a": 20, "b": 60}, shares: map[string]float64{"a": 75, "b": 25}, want: map[string]float64{"a": 0.75, "b": 0.25}},
		"even":                         {callers: map[string]int{"a": 100, "b": 20}, shares: map[string]float64{"a": 50, "b": 50}, want: map[string]float64{"a": 0.5, "b": 0.5}},
		"unused-share-is-lent":         {callers: map[string]int{"a": 1, "b": 40}, shares: map[string]float64{"a": 75, "b": 25}, want: map[string]float64{"b": 0.88}},
	}
	const bound = 0.05
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Nanosecond)
				s := &slots{}
				s.size.Store(8)
				g := New(s, metrics.NewSet())
				ctx, stop := context.WithTimeout(t.Context(), 200*time.Second)
				defer stop()
				var group sync.WaitGroup
				served := make(map[string]*atomic.Int64)
				for organisation, callers := range test.callers {
					count := new(atomic.Int64)
					served[organisation] = count
					for range callers {
						group.Go(func() { serve(ctx, g, s, organisation, test.shares[organisation], count) })
					}
				}
				group.Wait()
				g.Close()
				total := 0.0
				for _, n := range served {
					total += float64(n.Load())
				}
				for organisation, want := range test.want {
					got := float64(served[organisation].Load()) / total
					c.Assert(got > want-bound && got < want+bound, quicktest.IsTrue, quicktest.Commentf("%s got %.3f of %.3f", organisation, got, want))
				}
				c.Assert(s.used.Load(), quicktest.Equals, int64(0))
			})
		})
	}
}

// TestEnter checks what a generation meets when engines are full.
func TestEnter(t *testing.T) {
	cases := map[string]struct {
		free    int64
		opens   time.Duration // opens is when a slot gets free, or 0 for never.
		gives   time.Duration // gives is when the caller gives up, or 0 for never.
		want    error
		atLeast time.Duration
		atMost  time.Duration
	}{
		"room":        {free: 1, atMost: 0},
		"soon":        {opens: time.Second, atLeast: time.Second, atMost: time.Second + 2*lookPeriod},
		"never":       {want: fair.ErrLate, atLeast: WaitBound, atMost: WaitBound + 2*lookPeriod},
		"caller-gone": {gives: time.Second, want: context.DeadlineExceeded, atLeast: time.Second, atMost: time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Nanosecond)
				s := &slots{}
				s.size.Store(test.free)
				if test.opens > 0 {
					time.AfterFunc(test.opens, func() { s.size.Store(1) })
				}
				g := New(s, metrics.NewSet())
				defer g.Close()
				ctx := t.Context()
				if test.gives > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, test.gives)
					defer cancel()
				}
				began := time.Now()
				_, err := g.Enter(ctx, "a", "m", 1)
				took := time.Since(began)
				c.Assert(errors.Is(err, test.want), quicktest.IsTrue, quicktest.Commentf("%v", err))
				c.Assert(took >= test.atLeast && took <= test.atMost, quicktest.IsTrue, quicktest.Commentf("%s", took))
			})
		})
	}
}
