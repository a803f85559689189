package route

// Candidate is a target as one instance sees it; its values are never changed after construction.
type Candidate struct {
	Name         string
	Address      string
	Domain       string
	Slots        int     // Slots is the number of generations batched at once; 0 means unknown.
	InFlight     int     // InFlight is the number of this instance's generations in flight there.
	ReportedLoad int     // ReportedLoad is the last reported number of all instances' generations there.
	CachedPrefix float64 // CachedPrefix is the estimated share of the prompt's prefix in the target's cache, 0 to 1.
	Suspect      bool    // Suspect marks a target that failed recently.
}

// Strategy is the sealed set of strategies to choose a target: Balanced, Scanned, LeastLoaded and Random.
type Strategy interface {
	isStrategy()
}

// Balanced compares the cost of two random targets and of the one with the most of the prefix cached. Reports lag, so
// that comparing more targets would send all instances to the same one.
type Balanced struct {
	Domain string // Domain is the failure domain that is preferred at nearly equal cost.
	Draw   uint64 // Draw is a random number.
}

// Scanned takes the target with the least cost among all; it is a baseline for comparison.
type Scanned struct {
	Domain string
}

// LeastLoaded takes the target with the least load; it is a baseline for comparison.
type LeastLoaded struct{}

// Random takes a random target; it is a baseline for comparison.
type Random struct {
	Draw uint64 // Draw is a random number.
}

func (Balanced) isStrategy()    {}
func (Scanned) isStrategy()     {}
func (LeastLoaded) isStrategy() {}
func (Random) isStrategy()      {}

const (
	cachedPrefixGain = 0.5  // load, as a share of the slots, that a fully cached prefix outweighs
	domainGain       = 0.02 // load, as a share of the slots, that the preferred failure domain outweighs
	suspectPenalty   = 10   // places suspect targets behind all others
	defaultSlots     = 16   // for a target whose slots are unknown
)

// Choose returns the index of the candidate for a request, or -1 if the names to avoid leave none.
func Choose(s Strategy, candidates []Candidate, avoid map[string]bool) int {
	var allowed []int
	for i, candidate := range candidates {
		if !avoid[candidate.Name] {
			allowed = append(allowed, i)
		}
	}
	if len(allowed) == 0 {
		return -1
	}
	switch s := s.(type) {
	case Random:
		return allowed[s.Draw%uint64(len(allowed))]
	case Balanced:
		return cheapest(candidates, sample(candidates, withoutSuspects(candidates, allowed), s.Draw), s.Domain, cachedPrefixGain)
	case Scanned:
		return cheapest(candidates, allowed, s.Domain, cachedPrefixGain)
	default:
		return cheapest(candidates, allowed, "", 0)
	}
}

// cheapest returns the one of the indices whose candidate has the least cost.
func cheapest(candidates []Candidate, indices []int, domain string, prefixGain float64) int {
	best := indices[0]
	for _, i := range indices[1:] {
		if candidates[i].cost(domain, prefixGain) < candidates[best].cost(domain, prefixGain) {
			best = i
		}
	}
	return best
}

// withoutSuspects returns the indices of candidates that are not suspect, or all indices if every candidate is.
func withoutSuspects(candidates []Candidate, indices []int) []int {
	var healthy []int
	for _, i := range indices {
		if !candidates[i].Suspect {
			healthy = append(healthy, i)
		}
	}
	if len(healthy) == 0 {
		return indices
	}
	return healthy
}

// sample returns two different indices selected by a random number, and the one with the most of the prefix cached.
func sample(candidates []Candidate, indices []int, draw uint64) []int {
	n := uint64(len(indices))
	if n <= 2 {
		return indices
	}
	first := draw % n
	second := (first + 1 + draw/n%(n-1)) % n
	mostCached := cheapest(candidates, indices, "", 1<<20)
	return []int{indices[first], indices[second], mostCached}
}

// cost returns the load as a share of the slots, reduced for a cached prefix and for the preferred failure domain and
// raised for a suspect target.
func (c Candidate) cost(domain string, prefixGain float64) float64 {
	slots := c.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	cost := float64(max(c.InFlight, c.ReportedLoad))/float64(slots) - prefixGain*c.CachedPrefix
	if c.Suspect {
		cost += suspectPenalty
	}
	if domain != "" && domain == c.Domain {
		cost -= domainGain
	}
	return cost
}
