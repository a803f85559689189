package proof

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/store"
)

// The budget of platform calls at the fleet size that the system is designed for: half of what the platform accepts.
const (
	designNodes    = 410
	readsBudget    = 1000.0 // Reads per second of the whole fleet, averaged over its worst minute.
	writesBudget   = 150.0  // Writes per second, likewise.
	simulatedNodes = 40     // The counts are scaled from this fleet to designNodes.
	outageDuration = time.Minute
	minuteSeconds  = 60
)

// platformCalls counts calls to the platform by Unix second.
type platformCalls struct {
	reads  map[int64]int
	writes map[int64]int
}

// countPlatformCall counts a call to the platform in the current second.
func (w *world) countPlatformCall(isWrite bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	second := time.Now().Unix()
	if isWrite {
		w.platformCalls.writes[second]++
	} else {
		w.platformCalls.reads[second]++
	}
}

// worstMinute returns the highest number of calls in any minute, as a rate per second.
func worstMinute(bySecond map[int64]int) float64 {
	worst := 0
	for from := range bySecond {
		sum := 0
		for s := from; s < from+minuteSeconds; s++ {
			sum += bySecond[s]
		}
		worst = max(worst, sum)
	}
	return float64(worst) / minuteSeconds
}

// TestPlatformBudget checks that a fleet's platform calls stay within the budget when all nodes act at once: at a
// common start, and during and after an outage of the platform.
func TestPlatformBudget(t *testing.T) {
	cases := map[string]func(w *world){
		"all-start-at-once": func(*world) { time.Sleep(2 * time.Minute) },
		"platform-down-and-up-again": func(w *world) {
			w.platform.SetFault(store.Down{})
			time.Sleep(outageDuration)
			w.platform.SetFault(store.Healthy{})
			time.Sleep(time.Minute)
		},
		"platform-frozen-and-back": func(w *world) {
			w.setState(platformName, frozen)
			time.Sleep(outageDuration)
			w.setState(platformName, running)
			time.Sleep(time.Minute)
		},
		"all-restart-while-platform-down": func(w *world) {
			w.platform.SetFault(store.Down{})
			for i := range simulatedNodes {
				w.restartNode(fmt.Sprintf("node-%d", i))
			}
			time.Sleep(outageDuration)
			w.platform.SetFault(store.Healthy{})
			time.Sleep(time.Minute)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, simulatedNodes, 3, "latency")
				defer w.close()
				run(w)
				w.mu.Lock()
				reads := worstMinute(w.platformCalls.reads) / simulatedNodes * designNodes
				writes := worstMinute(w.platformCalls.writes) / simulatedNodes * designNodes
				w.mu.Unlock()
				t.Logf("BUDGET %s: %.0f reads/s of %.0f, %.1f writes/s of %.0f", name, reads, readsBudget, writes, writesBudget)
				if reads > readsBudget || writes > writesBudget {
					t.Errorf("over the budget: %.0f reads/s and %.1f writes/s", reads, writes)
				}
			})
		})
	}
}
