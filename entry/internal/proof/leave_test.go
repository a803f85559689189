package proof

import (
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/conf"
)

// drainBound is the longest time for which a draining target may get new generations.
const drainBound = 3 * time.Second

// TestLeavingTarget checks that a draining target soon gets no new generations, whether its declaration or its own load
// report says that it is leaving, and that its running generations complete.
func TestLeavingTarget(t *testing.T) {
	cases := map[string]func(w *world){
		"by-declaration": func(w *world) {
			w.declare(conf.KindTarget, "engine-0", `{"address":"engine-0:1","failure-domain":"fd-0","models":["m"],"slots":16,"leaving":true}`)
		},
		"by-its-own-report": func(w *world) {
			e := w.engines["engine-0"]
			e.update(func() { e.leaving = true })
		},
		"by-declaration-just-before-the-platform-freezes": func(w *world) {
			w.declare(conf.KindTarget, "engine-0", `{"address":"engine-0:1","failure-domain":"fd-0","models":["m"],"slots":16,"leaving":true}`)
			runAfter(50*time.Millisecond, func() { pause(w, platformName) })
		},
	}
	for name, startDraining := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, 2, "thrift")
				defer w.close()
				e := w.engines["engine-0"]
				for i := range 10 {
					go func() {
						for n := 0; w.runCtx.Err() == nil; n++ {
							c := newCaller(w, uint64(i*1000+n), 60)
							c.nodeIndex = i
							if o := c.run(); w.runCtx.Err() == nil && !o.done {
								t.Error("a generation did not complete:", c.check(o))
							}
						}
					}()
				}
				time.Sleep(5 * time.Second)
				if e.lastStart().IsZero() {
					t.Fatal("the target got no generation before it began to drain")
				}
				startDraining(w)
				drainingSince := time.Now()
				time.Sleep(12 * time.Second)
				if delay := e.lastStart().Sub(drainingSince); delay > drainBound {
					t.Errorf("a new generation came %s after the target began to drain", delay)
				}
				if e.activeCount() > 0 {
					t.Error("the target still runs generations")
				}
				t.Logf("last new generation %s after the drain began", e.lastStart().Sub(drainingSince))
			})
		})
	}
}

// lastStart returns when the engine got its last new generation.
func (e *fakeEngine) lastStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastStartTime
}
