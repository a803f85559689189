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

// mendBound is the longest that an engine which ignores fencing numbers may hold what a late order told it.
const mendBound = 15 * time.Second

// TestLateOrders keeps an order in the network and pauses its sender, the holder of the lease, lets another take over, and lets the late order arrive.
func TestLateOrders(t *testing.T) {
	cases := map[string]struct {
		ignores bool // ignores tells whether the engine takes orders with an old fencing number.
	}{
		"checking": {},
		"ignoring": {ignores: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, 1, "latency")
				defer w.close()
				e := w.engines["engine-0"]
				e.with(func() { e.ignores = test.ignores })
				declare := func(models string) {
					w.declare(conf.KindTarget, "engine-0", fmt.Sprintf(
						`{"address":"engine-0:1","failure-domain":"fd-0","models":[%s],"slots":16,"ignores-fencing":%t}`, models, test.ignores))
				}
				declare(`"m"`)
				w.until(t, 20*time.Second, "first models", func() bool { return e.holds("m") })
				var paused atomic.Pointer[string]
				w.hook("order", func() {
					name := w.names()[slices.IndexFunc(w.names(), func(n string) bool { return w.nodes[n].Fleet.Elected("steer", 1) })]
					w.mu.Lock()
					w.catchOrder = true
					w.mu.Unlock()
					w.set(name, frozen)
					paused.Store(&name)
				})
				declare(`"m","old"`)
				w.until(t, 20*time.Second, "order under way", func() bool { return paused.Load() != nil })
				declare(`"m","new"`)
				w.until(t, 40*time.Second, "order of the next holder", func() bool { return e.holds("m", "new") })
				w.set(*paused.Load(), running)
				err := w.lateOrder()
				if taken := e.holds("m", "old"); taken != test.ignores || (err != nil) == test.ignores {
					t.Errorf("late order taken: %t, want %t (%v)", taken, test.ignores, err)
				}
				w.until(t, mendBound, "models of the declaration in force", func() bool { return e.holds("m", "new") })
			})
		})
	}
}

// holds tells whether the engine holds exactly some models.
func (e *fakeEngine) holds(models ...string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Equal(e.models, models)
}

// until waits for a condition.
func (w *world) until(t *testing.T, bound time.Duration, what string, ok func() bool) {
	t.Helper()
	limit := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(limit) {
			t.Fatalf("%s: not within %s", what, bound)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
