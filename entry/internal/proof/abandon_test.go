package proof

import (
	"testing"
	"testing/synctest"
	"time"
)

// longGenerationTokens keeps a generation running for longer than any cleanup may take.
const longGenerationTokens = 5000

// TestAbandonedWork checks that engines stop generations that nobody reads any more.
func TestAbandonedWork(t *testing.T) {
	cases := map[string]struct {
		inject     generationFault
		checkAfter time.Duration // Delay from the fault to the check of the engines.
		wantActive int           // Number of generations that engines should still run.
	}{
		"caller-gives-up": {
			inject:     func(w *world, c *caller) { c.giveUp() },
			checkAfter: linger + 2*time.Second,
		},
		"instance-killed-and-caller-gives-up": {
			inject: func(w *world, c *caller) {
				c.giveUp()
				w.setState(c.servingNode(), dead)
			},
			checkAfter: linger + 15*time.Second,
		},
		"engine-connections-silent": {
			inject:     func(w *world, c *caller) { w.busiestEngine().silence() },
			checkAfter: 2 * time.Second,
			wantActive: 1, // No second attempt remains at another engine.
		},
		"no-fault": {
			inject:     func(w *world, c *caller) {},
			checkAfter: linger + 15*time.Second,
			wantActive: 1,
		},
	}
	for name, test := range cases {
		for _, recovery := range []string{"latency", "thrift"} {
			t.Run(name+"/"+recovery, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, 3, 5, recovery)
					defer w.close()
					c := newCaller(w, 1, longGenerationTokens)
					go c.run()
					time.Sleep(5 * time.Second)
					if got := w.totalActive(); got != 1 {
						t.Fatalf("%d generations run before the fault, want 1", got)
					}
					test.inject(w, c)
					time.Sleep(test.checkAfter)
					if got := w.totalActive(); got != test.wantActive {
						t.Errorf("%d generations run %s after the fault, want %d", got, test.checkAfter, test.wantActive)
					}
				})
			})
		}
	}
}

// TestHeartbeat checks that heartbeats keep a caller connected to its instance while the engine is slow.
func TestHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 1, "thrift")
		defer w.close()
		e := w.busiestEngine()
		e.update(func() { e.slowdown = 500 })
		c := newCaller(w, 1, 3)
		o := c.run()
		if failure := c.check(o); failure != "" || !o.done {
			t.Fatal("generation did not complete", failure)
		}
		if o.retries > 0 {
			t.Errorf("caller reconnected %d times", o.retries)
		}
	})
}
