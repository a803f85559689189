package proof

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/store"
)

// The fleet's budget at the size to design for: half of what the platform takes.
const (
	fleetNodes    = 410
	readsBudget   = 1000.0 // readsBudget is reads a second of the whole fleet, in its worst minute.
	writesBudget  = 150.0
	budgetNodes   = 40 // budgetNodes is the size of the fleet that is run.
	outageLasts   = time.Minute
	minuteSeconds = 60
)

// calls counts the platform's calls by second.
type calls struct {
	reads  map[int64]int
	writes map[int64]int
}

// count counts one call.
func (w *world) count(write bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	second := time.Now().Unix()
	if write {
		w.calls.writes[second]++
	} else {
		w.calls.reads[second]++
	}
}

// worstMinute returns the most calls in any minute, as a rate a second.
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

// TestPlatformBudget checks that the calls of a fleet in its worst minute, scaled to the size to design for, stay within the budget.
func TestPlatformBudget(t *testing.T) {
	cases := map[string]func(w *world){
		"all-start-at-once": func(*world) { time.Sleep(2 * time.Minute) },
		"outage-and-its-end": func(w *world) {
			w.platform.SetFault(store.Down{})
			time.Sleep(outageLasts)
			w.platform.SetFault(store.Healthy{})
			time.Sleep(time.Minute)
		},
		"frozen-and-its-end": func(w *world) {
			w.set(platformName, frozen)
			time.Sleep(outageLasts)
			w.set(platformName, running)
			time.Sleep(time.Minute)
		},
		"all-restart-in-an-outage": func(w *world) {
			w.platform.SetFault(store.Down{})
			for i := range budgetNodes {
				w.bounce(fmt.Sprintf("node-%d", i))
			}
			time.Sleep(outageLasts)
			w.platform.SetFault(store.Healthy{})
			time.Sleep(time.Minute)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, budgetNodes, 3, "latency")
				defer w.close()
				run(w)
				w.mu.Lock()
				reads := worstMinute(w.calls.reads) / budgetNodes * fleetNodes
				writes := worstMinute(w.calls.writes) / budgetNodes * fleetNodes
				w.mu.Unlock()
				t.Logf("BUDGET %s: %.0f reads/s of %.0f, %.1f writes/s of %.0f", name, reads, readsBudget, writes, writesBudget)
				if reads > readsBudget || writes > writesBudget {
					t.Errorf("%.0f reads/s and %.1f writes/s", reads, writes)
				}
			})
		})
	}
}
