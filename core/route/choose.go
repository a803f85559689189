package route

// Candidate is a target as one instance sees it; its values are never changed after construction.
type Candidate struct {
	Name    string
	Address string
	Domain  string
	Slots   int     // Slots is the number of generations batched at once; 0 means unknown.
	Own     int     // Own counts this instance's generations in flight there.
	Load    int     // Load is the last reported number of generations there, all instances together.
	Warm    float64 // Warm is the believed share of the prompt's prefix in the cache, 0 to 1.
	Suspect bool    // Suspect marks a target that failed lately.
}

// Choice is the sealed set of ways to choose a target: Balanced, Scanned, LeastLoaded and Random.
type Choice interface {
	isChoice()
}

// Balanced weighs load against warm prefixes among two targets at the given draw and the warmest one; since reports lag, looking at more would send everybody to the same.
type Balanced struct {
	Domain string // Domain is the failure domain that is preferred at equal cost.
	Draw   uint64
}

// Scanned weighs as Balanced does, among all targets; it is a baseline.
type Scanned struct {
	Domain string
}

// LeastLoaded takes the target with the least load alone; it is a baseline.
type LeastLoaded struct{}

// Random takes the target at the given draw; it is a baseline.
type Random struct {
	Draw uint64
}

func (Balanced) isChoice()    {}
func (Scanned) isChoice()     {}
func (LeastLoaded) isChoice() {}
func (Random) isChoice()      {}

const (
	warmGain       = 0.5  // warmGain is the load, in shares of all slots, that a fully warm prefix outweighs.
	domainGain     = 0.02 // domainGain is the load that the own failure domain outweighs.
	suspectPenalty = 10   // suspectPenalty puts suspects behind every healthy target.
	defaultSlots   = 16   // defaultSlots stands in for a target that has not declared its slots.
)

// Choose returns the index of the target for a request, leaving out the named ones, or -1.
func Choose(c Choice, candidates []Candidate, avoid map[string]bool) int {
	var open []int
	for i, t := range candidates {
		if !avoid[t.Name] {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	switch c := c.(type) {
	case Random:
		return open[c.Draw%uint64(len(open))]
	case Balanced:
		return cheapest(candidates, sampled(candidates, healthy(candidates, open), c.Draw), c.Domain, warmGain)
	case Scanned:
		return cheapest(candidates, open, c.Domain, warmGain)
	default:
		return cheapest(candidates, open, "", 0)
	}
}

// cheapest returns the index with the least cost.
func cheapest(candidates []Candidate, open []int, domain string, warm float64) int {
	best := open[0]
	for _, i := range open[1:] {
		if candidates[i].cost(domain, warm) < candidates[best].cost(domain, warm) {
			best = i
		}
	}
	return best
}

// healthy returns the indices that are not suspect, or all when every one is.
func healthy(candidates []Candidate, open []int) []int {
	var sound []int
	for _, i := range open {
		if !candidates[i].Suspect {
			sound = append(sound, i)
		}
	}
	if len(sound) == 0 {
		return open
	}
	return sound
}

// sampled returns two different indices at a draw, and the warmest.
func sampled(candidates []Candidate, open []int, draw uint64) []int {
	n := uint64(len(open))
	if n <= 2 {
		return open
	}
	first := draw % n
	second := (first + 1 + draw/n%(n-1)) % n
	warmest := cheapest(candidates, open, "", 1<<20)
	return []int{open[first], open[second], warmest}
}

// cost is lower for a better target, with a gain for the preferred domain and for a warm prefix.
func (t Candidate) cost(domain string, warm float64) float64 {
	slots := t.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	cost := float64(max(t.Own, t.Load))/float64(slots) - warm*t.Warm
	if t.Suspect {
		cost += suspectPenalty
	}
	if domain != "" && domain == t.Domain {
		cost -= domainGain
	}
	return cost
}
