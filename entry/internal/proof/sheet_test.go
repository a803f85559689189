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
	sheetApplyBound  = 4 * time.Second // Required bound on the time until a pushed sheet applies everywhere.
	checkInterval    = 50 * time.Millisecond
	sheetNodes       = 5                // More than the three instances that watch the platform.
	sheetFaultOffset = time.Second      // Time from an early fault to the push and from the push to a late fault.
	sheetSettleTime  = 25 * time.Second // Time after the push in which all faults end and all instances recover.
	ceilingOld       = 20
	ceilingNew       = 7
)

// sheetFaults returns the faults that are injected around the push of a sheet, by name.
func sheetFaults() map[string]func(w *world) {
	return map[string]func(w *world){
		"platform-down":           func(w *world) { w.failPlatform(store.Down{}) },
		"platform-frozen":         func(w *world) { pause(w, platformName) },
		"platform-slow":           func(w *world) { w.failPlatform(store.Slow{Delay: time.Second}) },
		"watcher-killed":          func(w *world) { w.setState(w.watcher(), dead) },
		"watcher-restarted":       func(w *world) { w.restartNode(w.watcher()) },
		"watcher-paused":          func(w *world) { pause(w, w.watcher()) },
		"watchers-cut":            func(w *world) { w.cutWatchers() },
		"instance-restarted":      func(w *world) { w.restartNode("node-4") },
		"instance-paused":         func(w *world) { pause(w, "node-4") },
		"instance-cut":            func(w *world) { w.isolate("node-4", platformName) },
		"instance-cut-from-peers": func(w *world) { w.isolate("node-4", "") },
		"two-instances-cut": func(w *world) {
			w.isolate("node-3", platformName, "node-4")
			w.isolate("node-4", platformName, "node-3")
		},
		"node-leaves": func(w *world) { w.node("node-0").Fleet.Leave() },
	}
}

// sheetSteps returns the steps at which faults are injected, as the time from the push of a sheet.
func sheetSteps() map[string]time.Duration {
	return map[string]time.Duration{"before": -sheetFaultOffset, "pushed": linkDelay, "spreading": 20 * time.Millisecond, "after": sheetFaultOffset}
}

// restartNode kills a node and starts it without its state half a second later.
func (w *world) restartNode(name string) {
	w.setState(name, dead)
	var i int
	_, _ = fmt.Sscanf(name, "node-%d", &i)
	runAfter(500*time.Millisecond, func() {
		if w.runCtx.Err() == nil {
			w.startNode(i)
		}
	})
}

// cutWatchers interrupts the links from the platform to every instance that is elected to watch it.
func (w *world) cutWatchers() {
	for _, name := range w.runningNodes() {
		if w.node(name).Fleet.Elected("watch", 3) {
			interruptLink(w, name, platformName)
		}
	}
}

// isolate interrupts the links of an instance to all others except some, and to the platform unless that is empty.
func (w *world) isolate(name, platform string, except ...string) {
	for _, other := range w.runningNodes() {
		if other != name && !slices.Contains(except, other) {
			interruptLink(w, name, other)
		}
	}
	if platform != "" {
		interruptLink(w, name, platform)
	}
}

// watcher returns an instance that is elected to watch the platform.
func (w *world) watcher() string {
	for _, name := range w.runningNodes() {
		if w.node(name).Fleet.Elected("watch", 3) {
			return name
		}
	}
	return "node-0"
}

// monitor checks which sheet each instance applies.
type monitor struct {
	// lastUnreadable is when the platform was last unreadable, in an outage that began within the bound after the push;
	// instances may not have read the sheet before it.
	lastUnreadable  time.Time
	w               *world
	mu              sync.Mutex
	pushedAt        time.Time
	failure         string
	runningSince    map[string]time.Time // Start of the uninterrupted run of each instance.
	highestRevision map[*node.Node]conf.Revision
}

// check records a failure if a running instance went back to an older revision or serves the old sheet too late.
func (m *monitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	names := m.w.runningNodes()
	if !m.pushedAt.IsZero() && m.w.isPlatformUnreadable() && now.Sub(m.pushedAt) < sheetApplyBound {
		m.lastUnreadable = now
	}
	if !m.lastUnreadable.IsZero() && m.w.isPlatformUnreadable() {
		m.lastUnreadable = now
	}
	for name := range m.runningSince {
		if !slices.Contains(names, name) {
			delete(m.runningSince, name)
		}
	}
	for _, name := range names {
		if _, ok := m.runningSince[name]; !ok {
			m.runningSince[name] = now
		}
		m.w.mu.Lock()
		n := m.w.nodes[name]
		m.w.mu.Unlock()
		snapshot := n.Watch.Snapshot()
		if snapshot.Revision() < m.highestRevision[n] {
			m.failure = fmt.Sprintf("%s went back from configuration revision %d to %d", name, m.highestRevision[n], snapshot.Revision())
		}
		m.highestRevision[n] = snapshot.Revision()
		current, err := n.Watch.Current()
		if err != nil || m.pushedAt.IsZero() || now.Sub(m.pushedAt) < sheetApplyBound || now.Sub(m.lastUnreadable) < sheetApplyBound || now.Sub(m.runningSince[name]) < sheetApplyBound {
			continue
		}
		if limit, _, _ := current.LimitOf("org"); limit.Ceiling != ceilingNew {
			m.failure = fmt.Sprintf("%s still serves the old sheet %s after the push", name, now.Sub(m.pushedAt))
		}
	}
}

// runSheetCell runs one cell and returns the failure found, or an empty string.
func runSheetCell(t *testing.T, faults cell) (failure string) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, sheetNodes, 1, "latency")
		defer w.close()
		m := &monitor{w: w, runningSince: make(map[string]time.Time), highestRevision: make(map[*node.Node]conf.Revision)}
		ctx, stop := context.WithCancel(w.runCtx)
		go func() {
			for ctx.Err() == nil {
				m.check()
				time.Sleep(checkInterval)
			}
		}()
		pushDelay := 2 * sheetFaultOffset
		steps, injectors := sheetSteps(), sheetFaults()
		for _, f := range faults {
			at := pushDelay + steps[f.step]
			if f.step == repeatStep {
				at = pushDelay + steps[faults[0].step] + repeatDelay
			}
			runAfter(at, func() { injectors[f.fault](w) })
		}
		time.Sleep(pushDelay)
		for !w.tryPushSheet() {
			time.Sleep(checkInterval)
		}
		m.mu.Lock()
		m.pushedAt = time.Now()
		m.mu.Unlock()
		time.Sleep(sheetSettleTime)
		stop()
		m.check()
		failure = m.failure
		for _, name := range w.runningNodes() {
			if current, err := w.node(name).Watch.Current(); failure == "" && err != nil {
				failure = fmt.Sprintf("%s still refuses requests after all faults ended: %v, revision %d", name, err, current.Revision())
			}
		}
	})
	return failure
}

// isPlatformUnreadable tells whether no instance can read the platform and thus learn of a sheet that it accepted.
func (w *world) isPlatformUnreadable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processStates[platformName] != running || w.platformRefuses
}

// tryPushSheet pushes the new sheet and tells whether the platform accepted it.
func (w *world) tryPushSheet() bool {
	w.mu.Lock()
	reachable := w.processStates[platformName] == running
	w.mu.Unlock()
	o, err := w.platform.Get(w.runCtx, conf.KindSheet, "club")
	if err != nil || !reachable {
		return false
	}
	value := fmt.Sprintf(`{"date":"2026-12-02","limits":[{"organisation":"org","share":100,"priority":1,"ceiling":%d,"models":["m"],"recovery":"latency"}]}`, ceilingNew)
	_, err = w.platform.Put(w.runCtx, o.WithValue("new", []byte(value)))
	return err == nil
}

// TestSheetMatrix checks under each cell of faults that the instances which serve requests apply a pushed sheet in
// time, that none goes back to an older revision and that all serve again after the faults.
func TestSheetMatrix(t *testing.T) {
	singles, pairs, twice := allCells(slices.Sorted(maps.Keys(sheetFaults())), slices.Sorted(maps.Keys(sheetSteps())))
	for kind, cells := range map[string][]cell{"single": singles, "twice": twice, "pair": selectCells(pairs)} {
		for _, c := range cells {
			t.Run(kind+"/"+c.String(), func(t *testing.T) {
				t.Parallel()
				recordResult(t, "sheet "+kind, c, runSheetCell(t, c), false)
			})
		}
	}
}

// TestOutageOrIsolation checks that an instance which cannot reach the platform goes on serving while it reaches most
// of its peers. An instance that is cut off from them too refuses requests, since its configuration may be stale.
func TestOutageOrIsolation(t *testing.T) {
	cases := map[string]struct {
		inject     func(w *world)
		askedNode  string // The instance that is checked.
		wantServes bool
	}{
		"platform-frozen":                 {inject: func(w *world) { w.setState(platformName, frozen) }, askedNode: "node-0", wantServes: true},
		"platform-frozen-and-one-dead":    {inject: func(w *world) { w.setState(platformName, frozen); w.setState("node-4", dead) }, askedNode: "node-0", wantServes: true},
		"one-cut-from-platform":           {inject: func(w *world) { w.setLinkCut("node-0", platformName, true) }, askedNode: "node-0", wantServes: true},
		"one-cut-from-all":                {inject: func(w *world) { cutAllLinks(w, "node-0") }, askedNode: "node-0"},
		"peer-of-one-cut-from-all":        {inject: func(w *world) { cutAllLinks(w, "node-0") }, askedNode: "node-1", wantServes: true},
		"restarted-while-platform-frozen": {inject: func(w *world) { w.setState(platformName, frozen); w.restartNode("node-2") }, askedNode: "node-2", wantServes: true},
		"platform-frozen-after-three-left": {inject: func(w *world) {
			for _, name := range []string{"node-2", "node-3", "node-4"} {
				w.node(name).Fleet.Leave()
			}
			time.Sleep(2 * time.Second)
			for _, name := range []string{"node-2", "node-3", "node-4"} {
				w.setState(name, dead)
			}
			time.Sleep(5 * time.Second)
			w.setState(platformName, frozen)
		}, askedNode: "node-0", wantServes: true},
		"restarted-and-cut-from-all": {inject: func(w *world) { cutAllLinks(w, "node-2"); w.restartNode("node-2") }, askedNode: "node-2"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, sheetNodes, 1, "latency")
				defer w.close()
				test.inject(w)
				time.Sleep(sheetApplyBound + 2*time.Second)
				n := w.node(test.askedNode)
				_, err := n.Watch.Current()
				quicktest.New(t).Assert(err == nil, quicktest.Equals, test.wantServes, quicktest.Commentf("%v", err))
			})
		})
	}
}

// cutAllLinks cuts an instance from the platform and all other instances for good.
func cutAllLinks(w *world, name string) {
	w.setLinkCut(name, platformName, true)
	for i := range sheetNodes {
		if other := fmt.Sprintf("node-%d", i); other != name {
			w.setLinkCut(name, other, true)
		}
	}
}
