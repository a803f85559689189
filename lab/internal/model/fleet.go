package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleywharf.example/core/route"
)

// Settings is the size and load of a model.
type Settings struct {
	Instances int
	Targets   int
	Models    int
	Subset    int // Subset is the number of engines that an instance watches for each model.
	Slots     int
	Prefixes  int     // Prefixes is the number of different prompt prefixes, drawn by a Zipf law.
	Cached    int     // Cached is the number of prefixes that an engine remembers.
	Rate      float64 // Rate is the number of requests a second.
	Service   time.Duration
	Lag       time.Duration // Lag is the time between two reports of an engine.
	Length    time.Duration // Length is the modelled time.
	Affinity  int           // Affinity is the number of instances that one prefix is steered to.
	Choice    string        // Choice is balanced, scanned, least-loaded or random.
	Seed      uint64
}

// Result is what an experiment found.
type Result struct {
	Requests int
	Hits     int     // Hits counts requests whose prefix was in the engine's cache.
	Peak     float64 // Peak is the 99th percentile of load, in shares of the slots.
	Spread   float64 // Spread is the load of the busiest engine in the mean over the mean of all.
	Over     int     // Over counts requests that found all slots of their engine taken.
}

// target is a modelled engine.
type target struct {
	name     string
	running  int
	reported int
	sum      float64
	cache    []int
}

// instance is a modelled entry instance.
type instance struct {
	name   string
	subset [][]int         // subset holds the watched engines of each model.
	own    map[int]int     // own counts this instance's requests at each engine.
	warm   map[[2]int]bool // warm holds the prefixes that it sent to an engine.
}

// finish is the end of a request.
type finish struct {
	at       time.Duration
	target   int
	instance int
}

// finishes is a heap by time.
type finishes []finish

// Len returns the number of requests that run.
func (f finishes) Len() int { return len(f) }

// Less orders by time.
func (f finishes) Less(i, j int) bool { return f[i].at < f[j].at }

// Pop removes the last.
func (f *finishes) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}

// Push adds one.
func (f *finishes) Push(x any) { *f = append(*f, x.(finish)) }

// Swap swaps two.
func (f finishes) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// fleet is the state of a model.
type fleet struct {
	settings  Settings
	random    *rand.Rand
	targets   []*target
	instances []*instance
	names     []string
	running   finishes
	loads     []float64
	result    Result
}

// Run runs an experiment.
func Run(s Settings) Result {
	f := newFleet(s)
	zipf := rand.NewZipf(f.random, 1.1, 4, uint64(s.Prefixes-1))
	var now, report time.Duration
	for now < s.Length {
		now += time.Duration(f.random.ExpFloat64() / s.Rate * float64(time.Second))
		f.finish(now)
		for report < now {
			f.report()
			report += s.Lag
		}
		f.arrive(now, int(zipf.Uint64()))
	}
	return f.summary()
}

// newFleet returns a fleet without load.
func newFleet(s Settings) *fleet {
	f := &fleet{settings: s, random: rand.New(rand.NewPCG(s.Seed, 1))}
	places := make([][]route.Place, s.Models)
	index := make(map[string]int)
	for i := range s.Targets {
		t := &target{name: fmt.Sprint("target-", i)}
		f.targets = append(f.targets, t)
		index[t.name] = i
		places[i%s.Models] = append(places[i%s.Models], route.Place{Name: t.name, Domain: fmt.Sprint("fd-", i%7)})
	}
	for i := range s.Instances {
		n := &instance{name: fmt.Sprint("entry-", i), own: make(map[int]int), warm: make(map[[2]int]bool)}
		for m := range s.Models {
			var watched []int
			key := fmt.Sprint(n.name, "/model-", m)
			for _, name := range route.Spread(key, fmt.Sprint("fd-", i%7), places[m], s.Subset) {
				watched = append(watched, index[name])
			}
			n.subset = append(n.subset, watched)
		}
		f.instances = append(f.instances, n)
		f.names = append(f.names, n.name)
	}
	return f
}

// arrive sends a request with a prefix to an instance and on to an engine.
func (f *fleet) arrive(now time.Duration, prefix int) {
	ranked := route.Rank(fmt.Sprint("prefix-", prefix), f.names)
	n := f.instances[slices.Index(f.names, ranked[f.random.IntN(f.settings.Affinity)])]
	watched := n.subset[prefix%f.settings.Models]
	candidates := make([]route.Candidate, len(watched))
	for i, at := range watched {
		candidates[i] = route.Candidate{Name: f.targets[at].name, Slots: f.settings.Slots, Own: n.own[at], Load: f.targets[at].reported}
		if n.warm[[2]int{at, prefix}] {
			candidates[i].Warm = 1
		}
	}
	at := watched[route.Choose(f.choice(), candidates, nil)]
	t := f.targets[at]
	f.result.Requests++
	if t.hit(prefix, f.settings.Cached) {
		f.result.Hits++
	}
	if t.running >= f.settings.Slots {
		f.result.Over++
	}
	t.running++
	n.own[at]++
	n.warm[[2]int{at, prefix}] = true
	length := time.Duration(f.random.ExpFloat64() * float64(f.settings.Service))
	heap.Push(&f.running, finish{at: now + length, target: at, instance: slices.Index(f.names, n.name)})
}

// choice returns the way to choose.
func (f *fleet) choice() route.Choice {
	switch f.settings.Choice {
	case "random":
		return route.Random{Draw: f.random.Uint64()}
	case "least-loaded":
		return route.LeastLoaded{}
	case "scanned":
		return route.Scanned{}
	default:
		return route.Balanced{Draw: f.random.Uint64()}
	}
}

// finish ends the requests that are over by a time.
func (f *fleet) finish(now time.Duration) {
	for len(f.running) > 0 && f.running[0].at <= now {
		done, _ := heap.Pop(&f.running).(finish)
		f.targets[done.target].running--
		f.instances[done.instance].own[done.target]--
	}
}

// hit tells whether a prefix is cached, and brings it to the front of the cache.
func (t *target) hit(prefix, size int) bool {
	at := slices.Index(t.cache, prefix)
	if at >= 0 {
		t.cache = slices.Delete(t.cache, at, at+1)
	} else if len(t.cache) >= size {
		t.cache = t.cache[1:]
	}
	t.cache = append(t.cache, prefix)
	return at >= 0
}

// report brings the engines' load to the instances.
func (f *fleet) report() {
	for _, t := range f.targets {
		t.reported = t.running
		share := float64(t.running) / float64(f.settings.Slots)
		t.sum += share
		f.loads = append(f.loads, share)
	}
}

// summary works out the result.
func (f *fleet) summary() Result {
	slices.Sort(f.loads)
	f.result.Peak = f.loads[len(f.loads)*99/100]
	sum, most := 0.0, 0.0
	for _, t := range f.targets {
		sum += t.sum
		most = max(most, t.sum)
	}
	f.result.Spread = most / (sum / float64(len(f.targets)))
	return f.result
}
