package proof

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/conf"
)

// repairBound bounds the time until an engine that ignores fencing tokens is ordered to undo a late order.
const repairBound = 15 * time.Second

// TestLateOrders delivers an order to an engine late: its sender, the holder of the lease, froze while it was sent and
// another instance took the lease and ordered other models since. An engine that checks fencing tokens refuses the late
// order; one that ignores them is ordered back to the declared models.
func TestLateOrders(t *testing.T) {
	cases := map[string]struct {
		ignoresFencing bool // The engine accepts orders with an old fencing token.
	}{
		"checks-fencing":  {},
		"ignores-fencing": {ignoresFencing: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, 1, "latency")
				defer w.close()
				e := w.engines["engine-0"]
				e.update(func() { e.ignoresFencing = test.ignoresFencing })
				declare := func(models string) {
					w.declare(conf.KindTarget, "engine-0", fmt.Sprintf(
						`{"address":"engine-0:1","failure-domain":"fd-0","models":[%s],"slots":16,"ignores-fencing":%t}`, models, test.ignoresFencing))
				}
				declare(`"m"`)
				w.waitFor(t, 20*time.Second, "models of the first declaration", func() bool { return e.holds("m") })
				var pausedNode atomic.Pointer[string]
				w.addHook("order", func() {
					name := w.runningNodes()[slices.IndexFunc(w.runningNodes(), func(n string) bool { return w.nodes[n].Fleet.Elected("steer", 1) })]
					w.mu.Lock()
					w.holdNextOrder = true
					w.mu.Unlock()
					w.setState(name, frozen)
					pausedNode.Store(&name)
				})
				declare(`"m","old"`)
				w.waitFor(t, 20*time.Second, "order sent", func() bool { return pausedNode.Load() != nil })
				declare(`"m","new"`)
				w.waitFor(t, 40*time.Second, "order of the next lease holder", func() bool { return e.holds("m", "new") })
				w.setState(*pausedNode.Load(), running)
				err := w.deliverHeldOrder()
				if applied := e.holds("m", "old"); applied != test.ignoresFencing || (err != nil) == test.ignoresFencing {
					t.Errorf("late order applied: %t, want %t (%v)", applied, test.ignoresFencing, err)
				}
				w.waitFor(t, repairBound, "declared models after the late order", func() bool { return e.holds("m", "new") })
			})
		})
	}
}

// holds tells whether the engine holds exactly these models.
func (e *fakeEngine) holds(models ...string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Equal(e.models, models)
}

// waitFor fails the test unless a condition holds within the timeout.
func (w *world) waitFor(t *testing.T, timeout time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not seen within %s", what, timeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
