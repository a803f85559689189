package proof

import (
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/conf"
)

// leaveBound is the longest that a leaving target may get new work.
const leaveBound = 3 * time.Second

// TestLeavingTarget checks that a target which is leaving gets no new work soon, whichever way that is learnt, and that its running work ends by itself.
func TestLeavingTarget(t *testing.T) {
	cases := map[string]func(w *world){
		"by-declaration": func(w *world) {
			w.declare(conf.KindTarget, "engine-0", `{"address":"engine-0:1","failure-domain":"fd-0","models":["m"],"slots":16,"leaving":true}`)
		},
		"by-its-own-report": func(w *world) {
			e := w.engines["engine-0"]
			e.with(func() { e.leaving = true })
		},
		"by-declaration-while-the-platform-goes": func(w *world) {
			w.declare(conf.KindTarget, "engine-0", `{"address":"engine-0:1","failure-domain":"fd-0","models":["m"],"slots":16,"leaving":true}`)
			later(50*time.Millisecond, func() { pause(w, platformName) })
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, 2, "thrift")
				defer w.close()
				e := w.engines["engine-0"]
				for i := range 10 {
					go func() {
						for n := 0; w.life.Err() == nil; n++ {
							c := newCaller(w, uint64(i*1000+n), 60)
							c.at = i
							if o := c.run(); w.life.Err() == nil && !o.done {
								t.Error("a generation was cut", c.check(o))
							}
						}
					}()
				}
				time.Sleep(5 * time.Second)
				if e.lastStart().IsZero() {
					t.Fatal("the target got no work before it left")
				}
				leave(w)
				left := time.Now()
				time.Sleep(12 * time.Second)
				if late := e.lastStart().Sub(left); late > leaveBound {
					t.Errorf("new work came %s after the target began to leave", late)
				}
				if e.busy() > 0 {
					t.Error("work is left at the target")
				}
				t.Logf("last new work %s after", e.lastStart().Sub(left))
			})
		})
	}
}

// lastStart returns when the engine got new work last.
func (e *fakeEngine) lastStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}
