package plan

import (
	"cmp"
	"slices"

	"bramleywharf.example/core/canary"
	"bramleywharf.example/core/site"
	"github.com/cespare/xxhash/v2"
)

// Excluded is the rank of a target that must not get a request.
const Excluded = -1

// Ranks of targets, in the order in which they are chosen. Those that have another version than the request's first
// attempt come after all others.
const (
	rankFirst  = 0
	rankSecond = 1
	rankThird  = 2
	rankOther  = 3
)

// Plan is what applies to the requests to one service. It is immutable.
type Plan struct {
	Order   uint64 // Order identifies the roll-out, or is 0.
	IsOpen  bool   // IsOpen tells that the roll-out has not ended.
	Phase   canary.Phase
	To      string
	Share   float64
	Stopped bool            // Stopped tells that the evidence that this instance holds is against the version.
	Pending string          // Pending is the version of an order that is not accepted yet, or empty.
	Alone   bool            // Alone tells that no version other than the ordered one has targets.
	Cleared map[string]bool // Cleared holds the versions that may be used unless something else is known of them.
	Barred  []string
	From    []string
	Focus   map[string]bool // Focus holds the names of the targets that the share goes to first.
}

// IsRunning reports whether a share of the requests goes to the new version.
func (p *Plan) IsRunning() bool {
	return p.Phase == canary.Running && !p.Stopped && p.Share > 0 && !p.Alone
}

// Exposure returns the part of the requests that goes to the ordered version.
func (p *Plan) Exposure() float64 {
	switch {
	case p == nil || p.Stopped:
		return 0
	case p.Phase == canary.Moving || p.Phase == canary.Done || p.Alone:
		return 1
	default:
		return p.Share
	}
}

// Counts reports whether evidence is collected. Before the new version has a share there is nothing to compare.
func (p *Plan) Counts() bool {
	return p.IsOpen && (p.Share > 0 || p.Phase == canary.Moving)
}

// Rank returns the rank of a target for a request that was chosen to go to the new version, or not.
func (p *Plan) Rank(target *site.Target, isFresh bool) int {
	version := target.Version
	switch {
	case version != "" && !p.Cleared[version], slices.Contains(p.Barred, version):
		return Excluded
	case version == p.Pending && version != "":
		return p.rankAlone()
	case version != p.To:
		return p.rankOld(version, isFresh)
	case p.Phase == canary.Running:
		return p.rankFresh(target.Name, isFresh)
	case p.Phase == canary.Moving && p.Stopped || p.Phase == canary.RolledBack:
		return Excluded
	default:
		return rankFirst
	}
}

// rankAlone returns the rank of a version that may only be used if it is the only one.
func (p *Plan) rankAlone() int {
	if p.Alone {
		return rankFirst
	}
	return Excluded
}

// rankOld returns the rank of a version other than the ordered one.
func (p *Plan) rankOld(version string, isFresh bool) int {
	switch {
	case p.Phase == canary.Running && isFresh:
		return rankThird
	case p.Phase == canary.Moving && p.Stopped:
		return rankFirst
	case (p.Phase == canary.Moving || p.Phase == canary.Done) && slices.Contains(p.From, version):
		return rankSecond
	default:
		return rankFirst
	}
}

// rankFresh returns the rank of a target of the new version while a share of the requests goes to it.
func (p *Plan) rankFresh(name string, isFresh bool) int {
	switch {
	case p.Stopped:
		return Excluded
	case !isFresh:
		return p.rankAlone()
	case p.Focus[name]:
		return rankFirst
	default:
		return rankSecond
	}
}

// NewFocus returns the names of the new targets that the share goes to first at a stage: as many as carry as much each as
// one of the old targets does, from all failure domains.
func NewFocus(fresh []site.Target, oldCount int, share float64, stage int) map[string]bool {
	// Rounding is mostly down, so that each has at least 0.85 times the load of an old one. At 0.65 times, a fault under load
	// stayed hidden until all requests went to the version.
	const roundUp = 0.3
	count := min(len(fresh), max(1, int(share/(1-share)*float64(oldCount)+roundUp)))
	order := slices.SortedFunc(slices.Values(fresh), func(a, b site.Target) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	order = alternate(order)
	focus := make(map[string]bool, count)
	for i := range count {
		focus[order[(stage*count+i)%len(order)].Name] = true
	}
	return focus
}

// alternate returns targets so that those of different failure domains follow each other.
func alternate(targets []site.Target) []site.Target {
	rounds := make(map[string]int)
	type ranked struct {
		target site.Target
		round  int
	}
	list := make([]ranked, len(targets))
	for i, t := range targets {
		list[i] = ranked{target: t, round: rounds[t.Domain]}
		rounds[t.Domain]++
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.round, b.round) })
	ordered := make([]site.Target, len(list))
	for i, r := range list {
		ordered[i] = r.target
	}
	return ordered
}

// Ranks ranks targets for one attempt of a request.
type Ranks struct {
	Plan    *Plan
	IsFresh bool    // IsFresh tells that the request was chosen to go to the new version.
	Began   *string // Began points to the version of the first target that the request was sent to, or is nil.
}

// Rank returns the rank of a target. A request stays with the version that began it.
func (r Ranks) Rank(target *site.Target) int {
	rank := r.Plan.Rank(target, r.IsFresh)
	if rank == Excluded || r.Began == nil {
		return rank
	}
	if target.Version == *r.Began {
		return rankFirst
	}
	return rankOther + rank
}
