package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bramleywharf.example/core/route"
)

// Settings holds the size and the load of the simulated fleet.
type Settings struct {
	Instances int
	Targets   int
	Models    int
	Subset    int // Subset is the number of engines that an instance watches for each model.
	Slots     int
	Prefixes  int           // Prefixes is the number of distinct prompt prefixes, drawn from a Zipf distribution.
	Cached    int           // Cached is the number of prefixes that an engine's cache holds.
	Rate      float64       // Rate is the number of requests a second.
	Service   time.Duration // Service is the mean duration of a generation.
	Lag       time.Duration // Lag is the interval between two load reports of an engine.
	Length    time.Duration // Length is the simulated duration.
	Affinity  int           // Affinity is the number of instances that share the requests of one prefix.
	Strategy  string        // Strategy is the way to choose an engine: balanced, scanned, least-loaded or random.
	Seed      uint64
}

// Result holds the measurements of a simulation.
type Result struct {
	Requests int
	Hits     int     // Hits counts the requests whose prefix was in the engine's cache.
	Peak     float64 // Peak is the 99th percentile of the engines' load, as a fraction of their slots.
	Spread   float64 // Spread is the mean load of the busiest engine divided by the mean load of all engines.
	Over     int     // Over counts the requests whose engine had no free slot.
}

// target is a simulated engine.
type target struct {
	name     string
	running  int
	reported int     // reported is the value of running at the last report.
	loadSum  float64 // loadSum adds up the loads at all reports.
	cache    []int   // cache holds prefixes, the least recently used first.
}

// instance is a simulated entry instance.
type instance struct {
	name     string
	subsets  [][]int         // subsets holds the indices of the watched engines, by model.
	inFlight map[int]int     // inFlight counts this instance's running requests, by index of the engine.
	sent     map[[2]int]bool // sent holds the pairs of an engine's index and a prefix that was sent to it.
}

// completion is the end of a request; target and instance are indices.
type completion struct {
	at       time.Duration
	target   int
	instance int
}

// completions is a heap of the running requests, the first to end on top.
type completions []completion

// Len returns the number of running requests.
func (c completions) Len() int { return len(c) }

// Less orders completions by time.
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }

// Pop removes the last completion.
func (c *completions) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// Push appends a completion.
func (c *completions) Push(x any) { *c = append(*c, x.(completion)) }

// Swap swaps two completions.
func (c completions) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// fleet is the state of a simulation.
type fleet struct {
	settings      Settings
	rng           *rand.Rand
	targets       []*target
	instances     []*instance
	instanceNames []string
	running       completions
	loads         []float64 // loads holds the load of each engine at each report, as a fraction of its slots.
	result        Result
}

// Run runs a simulation.
func Run(s Settings) Result {
	f := newFleet(s)
	zipf := rand.NewZipf(f.rng, 1.1, 4, uint64(s.Prefixes-1))
	var now, nextReport time.Duration
	for now < s.Length {
		now += time.Duration(f.rng.ExpFloat64() / s.Rate * float64(time.Second))
		f.complete(now)
		for nextReport < now {
			f.reportLoads()
			nextReport += s.Lag
		}
		f.arrive(now, int(zipf.Uint64()))
	}
	return f.summarise()
}

// newFleet returns a fleet without requests.
func newFleet(s Settings) *fleet {
	f := &fleet{settings: s, rng: rand.New(rand.NewPCG(s.Seed, 1))}
	placesByModel := make([][]route.Place, s.Models)
	targetIndex := make(map[string]int)
	for i := range s.Targets {
		t := &target{name: fmt.Sprint("target-", i)}
		f.targets = append(f.targets, t)
		targetIndex[t.name] = i
		placesByModel[i%s.Models] = append(placesByModel[i%s.Models], route.Place{Name: t.name, Domain: fmt.Sprint("fd-", i%7)})
	}
	for i := range s.Instances {
		inst := &instance{name: fmt.Sprint("entry-", i), inFlight: make(map[int]int), sent: make(map[[2]int]bool)}
		for m := range s.Models {
			var watched []int
			subsetKey := fmt.Sprint(inst.name, "/model-", m)
			for _, name := range route.Spread(subsetKey, fmt.Sprint("fd-", i%7), placesByModel[m], s.Subset) {
				watched = append(watched, targetIndex[name])
			}
			inst.subsets = append(inst.subsets, watched)
		}
		f.instances = append(f.instances, inst)
		f.instanceNames = append(f.instanceNames, inst.name)
	}
	return f
}

// arrive routes a request with a prefix to an instance and on to an engine.
func (f *fleet) arrive(now time.Duration, prefix int) {
	ranked := route.Rank(fmt.Sprint("prefix-", prefix), f.instanceNames)
	inst := f.instances[slices.Index(f.instanceNames, ranked[f.rng.IntN(f.settings.Affinity)])]
	watched := inst.subsets[prefix%f.settings.Models]
	candidates := make([]route.Candidate, len(watched))
	for i, index := range watched {
		candidates[i] = route.Candidate{Name: f.targets[index].name, Slots: f.settings.Slots, InFlight: inst.inFlight[index], ReportedLoad: f.targets[index].reported}
		if inst.sent[[2]int{index, prefix}] {
			candidates[i].CachedPrefix = 1
		}
	}
	chosen := watched[route.Choose(f.strategy(), candidates, nil)]
	t := f.targets[chosen]
	f.result.Requests++
	if t.useCached(prefix, f.settings.Cached) {
		f.result.Hits++
	}
	if t.running >= f.settings.Slots {
		f.result.Over++
	}
	t.running++
	inst.inFlight[chosen]++
	inst.sent[[2]int{chosen, prefix}] = true
	duration := time.Duration(f.rng.ExpFloat64() * float64(f.settings.Service))
	heap.Push(&f.running, completion{at: now + duration, target: chosen, instance: slices.Index(f.instanceNames, inst.name)})
}

// complete ends the requests that finish by now.
func (f *fleet) complete(now time.Duration) {
	for len(f.running) > 0 && f.running[0].at <= now {
		ended, _ := heap.Pop(&f.running).(completion)
		f.targets[ended.target].running--
		f.instances[ended.instance].inFlight[ended.target]--
	}
}

// reportLoads makes the engines' current load visible to the instances.
func (f *fleet) reportLoads() {
	for _, t := range f.targets {
		t.reported = t.running
		load := float64(t.running) / float64(f.settings.Slots)
		t.loadSum += load
		f.loads = append(f.loads, load)
	}
}

// useCached reports whether a prefix is cached and makes it the most recently used one. A prefix that was not cached
// takes the place of the least recently used one when the cache is full.
func (t *target) useCached(prefix, capacity int) bool {
	index := slices.Index(t.cache, prefix)
	if index >= 0 {
		t.cache = slices.Delete(t.cache, index, index+1)
	} else if len(t.cache) >= capacity {
		t.cache = t.cache[1:]
	}
	t.cache = append(t.cache, prefix)
	return index >= 0
}

// strategy returns the configured way to choose an engine, with a new random number where it needs one.
func (f *fleet) strategy() route.Strategy {
	switch f.settings.Strategy {
	case "random":
		return route.Random{Draw: f.rng.Uint64()}
	case "least-loaded":
		return route.LeastLoaded{}
	case "scanned":
		return route.Scanned{}
	default:
		return route.Balanced{Draw: f.rng.Uint64()}
	}
}

// summarise computes the result.
func (f *fleet) summarise() Result {
	slices.Sort(f.loads)
	f.result.Peak = f.loads[len(f.loads)*99/100]
	loadSum, highest := 0.0, 0.0
	for _, t := range f.targets {
		loadSum += t.loadSum
		highest = max(highest, t.loadSum)
	}
	f.result.Spread = highest / (loadSum / float64(len(f.targets)))
	return f.result
}
