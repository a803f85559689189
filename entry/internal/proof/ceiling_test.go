package proof

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/route"
)

const (
	testCeiling       = 12
	ceilingCallers    = 30
	ceilingTokens     = 40
	ceilingDuration   = 40 * time.Second
	ceilingFaultDelay = 10 * time.Second
)

// TestCeiling checks that the running generations of an organisation, over all engines, stay within its ceiling while
// more callers ask for them, and that callers are still served through faults.
func TestCeiling(t *testing.T) {
	cases := map[string]struct {
		inject    func(w *world)
		maxAtOnce int // Most generations that may run at once.
		minServed int // Fewest generations that must be served in total.
	}{
		"healthy":         {inject: func(*world) {}, maxAtOnce: testCeiling, minServed: 300},
		"lender-leaves":   {inject: func(w *world) { w.nodes[w.lender()].Fleet.Leave() }, maxAtOnce: testCeiling, minServed: 300},
		"lender-killed":   {inject: func(w *world) { w.setState(w.lender(), dead) }, maxAtOnce: 2 * testCeiling, minServed: 100},
		"lender-paused":   {inject: func(w *world) { pause(w, w.lender()) }, maxAtOnce: 2 * testCeiling, minServed: 100},
		"borrower-killed": {inject: func(w *world) { w.setState(w.borrower(), dead) }, maxAtOnce: 2 * testCeiling, minServed: 100},
		"borrower-cut":    {inject: func(w *world) { w.isolate(w.borrower(), "") }, maxAtOnce: 2 * testCeiling, minServed: 100},
		"lender-cut":      {inject: func(w *world) { w.isolate(w.lender(), "") }, maxAtOnce: 2 * testCeiling, minServed: 100},
		"instance-joins":  {inject: func(w *world) { w.startNode(3) }, maxAtOnce: testCeiling, minServed: 300},
		"sheet-lowered":   {inject: func(w *world) { w.pushSheet(5, "latency", testCeiling/2) }, maxAtOnce: testCeiling, minServed: 100},
		"platform-frozen": {inject: func(w *world) { pause(w, platformName) }, maxAtOnce: testCeiling, minServed: 300},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, 3, "latency")
				defer w.close()
				w.pushSheet(2, "latency", testCeiling)
				time.Sleep(5 * time.Second)
				ctx, stop := context.WithTimeout(w.runCtx, ceilingDuration)
				defer stop()
				var mu sync.Mutex
				served, peak := 0, 0
				for i := range ceilingCallers {
					go func() {
						for n := 0; ctx.Err() == nil; n++ {
							c := newCaller(w, uint64(i*1000+n), ceilingTokens)
							c.nodeIndex = i
							if o := c.run(); o.done {
								mu.Lock()
								served++
								mu.Unlock()
							}
						}
					}()
				}
				runAfter(ceilingFaultDelay, func() { test.inject(w) })
				for ctx.Err() == nil {
					peak = max(peak, w.totalActive())
					time.Sleep(10 * time.Millisecond)
				}
				mu.Lock()
				defer mu.Unlock()
				t.Logf("PEAK %s: %d of %d at once, %d served", name, peak, testCeiling, served)
				if peak > test.maxAtOnce {
					t.Errorf("%d generations at once, over %d", peak, test.maxAtOnce)
				}
				if served < test.minServed {
					t.Errorf("%d generations served, under %d", served, test.minServed)
				}
			})
		})
	}
}

// lender returns the instance that lends the slots of the organisation's ceiling to the others.
func (w *world) lender() string {
	return w.lenderRanking()[0]
}

// borrower returns an instance that borrows slots and lends none.
func (w *world) borrower() string {
	return w.lenderRanking()[1]
}

// lenderRanking returns the running instances in the order in which they become the lender.
func (w *world) lenderRanking() []string {
	return route.Rank("lender/org", w.runningNodes())
}
