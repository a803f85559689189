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

// Choice is the sealed set of ways to choose a target: Balanced, LeastLoaded and Random.
type Choice interface {
	isChoice()
}

// Balanced weighs load against warm prefixes up to a bound of load.
type Balanced struct {
	Domain string // Domain is the failure domain that is preferred at equal cost.
}

// LeastLoaded takes the target with the least load alone; it is a baseline.
type LeastLoaded struct{}

// Random takes the target at the given draw; it is a baseline.
type Random struct {
	Draw uint64
}

func (Balanced) isChoice()    {}
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
	if r, ok := c.(Random); ok {
		return chooseRandom(r, candidates, avoid)
	}
	best := -1
	var bestCost float64
	for i, t := range candidates {
		if avoid[t.Name] {
			continue
		}
		cost := t.cost(c)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// chooseRandom returns the candidate at the draw among those that are not left out.
func chooseRandom(r Random, candidates []Candidate, avoid map[string]bool) int {
	var open []int
	for i, t := range candidates {
		if !avoid[t.Name] {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	return open[r.Draw%uint64(len(open))]
}

// cost is lower for a better target.
func (t Candidate) cost(c Choice) float64 {
	slots := t.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	cost := float64(max(t.Own, t.Load)) / float64(slots)
	if t.Suspect {
		cost += suspectPenalty
	}
	b, ok := c.(Balanced)
	if !ok {
		return cost
	}
	cost -= warmGain * t.Warm
	if b.Domain == t.Domain {
		cost -= domainGain
	}
	return cost
}
