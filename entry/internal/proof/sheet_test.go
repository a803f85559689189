package proof

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/conf"
	"bramleywharf.example/core/store"
	"bramleywharf.example/entry/internal/node"
	"github.com/frankban/quicktest"
)

const (
	forceBound  = 4 * time.Second       // forceBound is the users' bound for a sheet to be in force everywhere.
	lookPeriod  = 50 * time.Millisecond // lookPeriod is the time between two looks at what is in force.
	sheetFleet  = 5                     // sheetFleet is the number of instances, more than watch the platform.
	sheetBefore = time.Second           // sheetBefore is the time between an early fault and the push, and between the push and a late one.
	sheetSettle = 25 * time.Second
	ceilingOld  = 20
	ceilingNew  = 7
)

// sheetFaults holds every fault of "What fails" that can meet a sheet on its way.
func sheetFaults() map[string]func(w *world) {
	return map[string]func(w *world){
		"platform-down":           func(w *world) { w.platformFault(store.Down{}) },
		"platform-frozen":         func(w *world) { pause(w, platformName) },
		"platform-slow":           func(w *world) { w.platformFault(store.Slow{By: time.Second}) },
		"watcher-killed":          func(w *world) { w.set(w.watcher(), dead) },
		"watcher-restarted":       func(w *world) { w.bounce(w.watcher()) },
		"watcher-paused":          func(w *world) { pause(w, w.watcher()) },
		"watchers-cut":            func(w *world) { w.cutWatchers() },
		"instance-restarted":      func(w *world) { w.bounce("node-4") },
		"instance-paused":         func(w *world) { pause(w, "node-4") },
		"instance-cut":            func(w *world) { w.isolate("node-4", platformName) },
		"instance-cut-from-peers": func(w *world) { w.isolate("node-4", "") },
		"two-instances-cut": func(w *world) {
			w.isolate("node-3", platformName, "node-4")
			w.isolate("node-4", platformName, "node-3")
		},
		"leaves": func(w *world) { w.node("node-0").Fleet.Leave() },
	}
}

// sheetSteps holds the steps of a sheet's path as the time from the push.
func sheetSteps() map[string]time.Duration {
	return map[string]time.Duration{"before": -sheetBefore, "pushed": linkDelay, "spreading": 20 * time.Millisecond, "after": sheetBefore}
}

// bounce kills a node and starts it empty a little later.
func (w *world) bounce(name string) {
	w.set(name, dead)
	var i int
	_, _ = fmt.Sscanf(name, "node-%d", &i)
	later(500*time.Millisecond, func() {
		if w.life.Err() == nil {
			w.startNode(i)
		}
	})
}

// cutWatchers cuts every instance that watches from the platform.
func (w *world) cutWatchers() {
	for _, name := range w.names() {
		if w.node(name).Fleet.Elected("watch", 3) {
			sever(w, name, platformName)
		}
	}
}

// isolate cuts an instance from all others but the named ones, and from the platform if it is named first.
func (w *world) isolate(name, platform string, but ...string) {
	for _, other := range w.names() {
		if other != name && !slices.Contains(but, other) {
			sever(w, name, other)
		}
	}
	if platform != "" {
		sever(w, name, platform)
	}
}

// watcher returns an instance that watches the platform.
func (w *world) watcher() string {
	for _, name := range w.names() {
		if w.node(name).Fleet.Elected("watch", 3) {
			return name
		}
	}
	return "node-0"
}

// monitor looks at what each instance has in force.
type monitor struct {
	dark    time.Time // dark is when the platform was last seen unreadable, which counts when it came right after the push.
	w       *world
	mu      sync.Mutex
	pushed  time.Time
	wrong   string
	awake   map[string]time.Time // awake holds since when an instance runs without a pause.
	highest map[*node.Node]conf.Revision
}

// look checks every running instance once.
func (m *monitor) look() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	running := m.w.names()
	if !m.pushed.IsZero() && m.w.isDark() && now.Sub(m.pushed) < forceBound {
		m.dark = now
	}
	if !m.dark.IsZero() && m.w.isDark() {
		m.dark = now
	}
	for name := range m.awake {
		if !slices.Contains(running, name) {
			delete(m.awake, name)
		}
	}
	for _, name := range running {
		if _, ok := m.awake[name]; !ok {
			m.awake[name] = now
		}
		m.w.mu.Lock()
		n := m.w.nodes[name]
		m.w.mu.Unlock()
		s := n.Watch.Snapshot()
		if s.Revision() < m.highest[n] {
			m.wrong = fmt.Sprintf("%s went back from revision %d to %d", name, m.highest[n], s.Revision())
		}
		m.highest[n] = s.Revision()
		current, err := n.Watch.Current()
		if err != nil || m.pushed.IsZero() || now.Sub(m.pushed) < forceBound || now.Sub(m.dark) < forceBound || now.Sub(m.awake[name]) < forceBound {
			continue
		}
		if l, _, _ := current.Limit("org"); l.Ceiling != ceilingNew {
			m.wrong = fmt.Sprintf("%s serves the old sheet %s after the push", name, now.Sub(m.pushed))
		}
	}
}

// sheetCell runs one cell and returns what is wrong.
func sheetCell(t *testing.T, faults cell) (wrong string) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, sheetFleet, 1, "latency")
		defer w.close()
		m := &monitor{w: w, awake: make(map[string]time.Time), highest: make(map[*node.Node]conf.Revision)}
		ctx, stop := context.WithCancel(w.life)
		go func() {
			for ctx.Err() == nil {
				m.look()
				time.Sleep(lookPeriod)
			}
		}()
		push := 2 * sheetBefore
		steps, table := sheetSteps(), sheetFaults()
		for _, f := range faults {
			at := push + steps[f.step]
			if f.step == again {
				at = push + steps[faults[0].step] + againAfter
			}
			later(at, func() { table[f.fault](w) })
		}
		time.Sleep(push)
		for !w.tryPushSheet() {
			time.Sleep(lookPeriod)
		}
		m.mu.Lock()
		m.pushed = time.Now()
		m.mu.Unlock()
		time.Sleep(sheetSettle)
		stop()
		m.look()
		wrong = m.wrong
		for _, name := range w.names() {
			if current, err := w.node(name).Watch.Current(); wrong == "" && err != nil {
				wrong = fmt.Sprintf("%s still refuses after all is mended: %v, revision %d", name, err, current.Revision())
			}
		}
	})
	return wrong
}

// isDark tells whether nobody can read the platform, so that nobody can know of a sheet that it accepted.
func (w *world) isDark() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conditions[platformName] != running || w.refusing
}

// tryPushSheet pushes the new sheet if the platform takes it now.
func (w *world) tryPushSheet() bool {
	w.mu.Lock()
	reachable := w.conditions[platformName] == running
	w.mu.Unlock()
	o, err := w.platform.Get(w.life, conf.KindSheet, "club")
	if err != nil || !reachable {
		return false
	}
	value := fmt.Sprintf(`{"date":"2026-12-02","limits":[{"organisation":"org","share":100,"priority":1,"ceiling":%d,"models":["m"],"recovery":"latency"}]}`, ceilingNew)
	_, err = w.platform.Put(w.life, o.WithValue("new", []byte(value)))
	return err == nil
}

func TestSheetMatrix(t *testing.T) {
	singles, pairs, twice := cells(slices.Sorted(maps.Keys(sheetFaults())), slices.Sorted(maps.Keys(sheetSteps())))
	for kind, list := range map[string][]cell{"single": singles, "twice": twice, "pair": sample(pairs)} {
		for _, c := range list {
			t.Run(kind+"/"+c.String(), func(t *testing.T) {
				t.Parallel()
				note(t, "sheet "+kind, c, sheetCell(t, c), false)
			})
		}
	}
}

// TestOutageOrIsolation checks what an instance does that cannot reach the platform, by the evidence it has.
func TestOutageOrIsolation(t *testing.T) {
	cases := map[string]struct {
		disturb func(w *world)
		look    string // look is the instance that is asked.
		serves  bool
	}{
		"platform-down":                 {disturb: func(w *world) { w.set(platformName, frozen) }, look: "node-0", serves: true},
		"platform-down-and-one-dead":    {disturb: func(w *world) { w.set(platformName, frozen); w.set("node-4", dead) }, look: "node-0", serves: true},
		"alone-cut-from-platform":       {disturb: func(w *world) { w.cut("node-0", platformName, true) }, look: "node-0", serves: true},
		"alone-cut-from-all":            {disturb: func(w *world) { cutAll(w, "node-0") }, look: "node-0"},
		"the-others-of-one-cut-off":     {disturb: func(w *world) { cutAll(w, "node-0") }, look: "node-1", serves: true},
		"restarted-while-platform-down": {disturb: func(w *world) { w.set(platformName, frozen); w.bounce("node-2") }, look: "node-2", serves: true},
		"platform-down-after-three-left": {disturb: func(w *world) {
			for _, name := range []string{"node-2", "node-3", "node-4"} {
				w.node(name).Fleet.Leave()
			}
			time.Sleep(2 * time.Second)
			for _, name := range []string{"node-2", "node-3", "node-4"} {
				w.set(name, dead)
			}
			time.Sleep(5 * time.Second)
			w.set(platformName, frozen)
		}, look: "node-0", serves: true},
		"restarted-and-cut-from-all": {disturb: func(w *world) { cutAll(w, "node-2"); w.bounce("node-2") }, look: "node-2"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, sheetFleet, 1, "latency")
				defer w.close()
				test.disturb(w)
				time.Sleep(forceBound + 2*time.Second)
				n := w.node(test.look)
				_, err := n.Watch.Current()
				quicktest.New(t).Assert(err == nil, quicktest.Equals, test.serves, quicktest.Commentf("%v", err))
			})
		})
	}
}

// cutAll cuts an instance from everything for good.
func cutAll(w *world, name string) {
	w.cut(name, platformName, true)
	for i := range sheetFleet {
		if other := fmt.Sprintf("node-%d", i); other != name {
			w.cut(name, other, true)
		}
	}
}
