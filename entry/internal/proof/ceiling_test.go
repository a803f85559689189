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
	testCeiling    = 12
	testCallers    = 30
	ceilingTokens  = 40
	ceilingRunsFor = 40 * time.Second
	faultAt        = 10 * time.Second
)

// TestCeiling lets more callers start generations than the ceiling allows and watches how many run at once, over all engines and through faults.
func TestCeiling(t *testing.T) {
	cases := map[string]struct {
		disturb func(w *world)
		bound   int // bound is the most that may run at once.
		least   int // least is the fewest generations that must be served in all.
	}{
		"healthy":         {disturb: func(*world) {}, bound: testCeiling, least: 300},
		"lender-leaves":   {disturb: func(w *world) { w.nodes[w.lender()].Fleet.Leave() }, bound: testCeiling, least: 300},
		"lender-killed":   {disturb: func(w *world) { w.set(w.lender(), dead) }, bound: 2 * testCeiling, least: 100},
		"lender-paused":   {disturb: func(w *world) { pause(w, w.lender()) }, bound: 2 * testCeiling, least: 100},
		"borrower-killed": {disturb: func(w *world) { w.set(w.other(), dead) }, bound: 2 * testCeiling, least: 100},
		"borrower-cut":    {disturb: func(w *world) { w.isolate(w.other(), "") }, bound: 2 * testCeiling, least: 100},
		"lender-cut":      {disturb: func(w *world) { w.isolate(w.lender(), "") }, bound: 2 * testCeiling, least: 100},
		"joined":          {disturb: func(w *world) { w.startNode(3) }, bound: testCeiling, least: 300},
		"sheet-lowered":   {disturb: func(w *world) { w.pushSheet(5, "latency", testCeiling/2) }, bound: testCeiling, least: 100},
		"platform-down":   {disturb: func(w *world) { pause(w, platformName) }, bound: testCeiling, least: 300},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, 3, "latency")
				defer w.close()
				w.pushSheet(2, "latency", testCeiling)
				time.Sleep(5 * time.Second)
				ctx, stop := context.WithTimeout(w.life, ceilingRunsFor)
				defer stop()
				var mu sync.Mutex
				served, peak := 0, 0
				for i := range testCallers {
					go func() {
						for n := 0; ctx.Err() == nil; n++ {
							c := newCaller(w, uint64(i*1000+n), ceilingTokens)
							c.at = i
							if o := c.run(); o.done {
								mu.Lock()
								served++
								mu.Unlock()
							}
						}
					}()
				}
				later(faultAt, func() { test.disturb(w) })
				for ctx.Err() == nil {
					peak = max(peak, w.busyTotal())
					time.Sleep(10 * time.Millisecond)
				}
				mu.Lock()
				defer mu.Unlock()
				t.Logf("PEAK %s: %d of %d at once, %d served", name, peak, testCeiling, served)
				if peak > test.bound {
					t.Errorf("%d generations at once, over %d", peak, test.bound)
				}
				if served < test.least {
					t.Errorf("%d generations served, under %d", served, test.least)
				}
			})
		})
	}
}

// lender returns the instance that lends the organisation's ceiling.
func (w *world) lender() string {
	return w.ranked()[0]
}

// other returns an instance that only borrows.
func (w *world) other() string {
	return w.ranked()[1]
}

// ranked returns the running instances in the order in which they lend.
func (w *world) ranked() []string {
	return route.Rank("lender/org", w.names())
}
