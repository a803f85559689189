package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/site"
)

// Costs of a target are counted in running streams.
const (
	// defaultLatency stands in for the latency of a target that has not answered yet.
	defaultLatency = 20 * time.Millisecond

	// exploreShare is the share of non-streaming requests that go to a random candidate, so that the latency and
	// failure rate of slow or failing targets are measured again.
	exploreShare = 0.03

	// costPerRank is the cost of each further rank in the order of a session.
	costPerRank = 0.5

	// cachedPromptGain is subtracted for the target that has already read the session's prompt: reading 8,000 tokens
	// again elsewhere takes a second of a target's time, which is expensive.
	cachedPromptGain = 6

	// replicaMemoryShare is the part of a target's memory up to which it takes replicas.
	replicaMemoryShare = 0.75

	// streamMemoryShare is the part of a target's memory up to which a stream is expected to begin at once; the rest is for
	// what streams write.
	streamMemoryShare = 0.9

	// minOldLoad is the age of load reports from which streams are placed by the size of their prompts. A prompt of 8,000
	// tokens is read in a second.
	minOldLoad = time.Second

	// sameDomainCost puts the targets of the excluded failure domain behind all others.
	sameDomainCost = 1000
)

// Want describes the request that needs a target.
type Want struct {
	Service string
	Session string          // Session selects the order of targets, the same on every instance; empty for a random one.
	Prompt  int             // Prompt is the number of prompt tokens to be read, or 0.
	Memory  int             // Memory is the capacity of one target in tokens, or 0 if it is unknown.
	Avoid   map[string]bool // Avoid holds the names of targets that must not be chosen.
	Room    bool            // Room leaves out targets at which a stream would wait for memory.
	Version VersionChoice   // Version ranks targets by their versions; nil treats all alike.
}

// Plain chooses a target for a non-streaming request: mostly the one with the lowest product of requests in flight,
// latency and failure rate.
func (p *Picker) Plain(want Want) (*Pick, bool) {
	t := p.targetTable.Load()
	candidates := candidatesFor(t, want)
	if len(candidates) == 0 {
		return nil, false
	}
	now := time.Now()
	best, bestCost := 0, 0.0
	for i, target := range candidates {
		healthStatus := target.state.healthStatus.Load()
		cost := float64(target.state.inFlight.Load()+1) * healthStatus.Cost(now, defaultLatency) * (1 + rand.Float64()/4)
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if rand.Float64() < exploreShare {
		best = rand.IntN(len(candidates))
	}
	return p.reserve(candidates[best], 0), true
}

// Stream chooses the target with the lowest cost for a stream. The cost is the load from all instances, weighted for the
// prompt if prompts are of different sizes; the first few targets in the order of the session are preferred, and most of
// all the one that has already read its prompt.
func (p *Picker) Stream(want Want) (*Pick, bool) {
	best := p.cheapestForStream(want, 1)
	if len(best) == 0 {
		return nil, false
	}
	return p.reserveStream(best[0], want), true
}

// Best returns up to count targets for a stream, the one that Stream would choose first, without counting the stream on
// any. It returns that one alone if it has already read the session's prompt.
func (p *Picker) Best(want Want, count int) []site.Target {
	var targets []site.Target
	for _, target := range p.cheapestForStream(want, count) {
		targets = append(targets, *target.Target)
	}
	if len(targets) > 0 && targets[0].Name == p.places.Last(want.Session) {
		return targets[:1]
	}
	return targets
}

// StreamAt chooses a given target for a stream, unless it was removed, restarted or started to drain.
func (p *Picker) StreamAt(target site.Target, want Want) (*Pick, bool) {
	current, ok := p.currentEntry(target)
	if !ok || want.rank(current) == Excluded || !current.state.mayAskInPause(time.Now()) {
		return nil, false
	}
	return p.reserveStream(current, want), true
}

// weights returns what a stream costs at a target by its load. Where load reports are recent, what other instances have
// reported is all there is to know: to take prompts as read with the time since sent streams to busier targets there.
func (p *Picker) weights(want Want) route.Weights {
	if p.LoadAge() < minOldLoad {
		return route.PlainWeights()
	}
	return p.prompts.At(want.Service).Load().Weights(want.Prompt, p.sinceSums())
}

// cheapestForStream returns up to count targets for a stream, the cheapest first.
func (p *Picker) cheapestForStream(want Want, count int) []entry {
	p.refreshSums() // It also brings the targets of other instances' sessions up to date.
	previous := p.places.Last(want.Session)
	weights := p.weights(want)
	return p.cheapest(want, count, weights, func(target entry) (float64, bool) {
		if target.Name == previous {
			return -cachedPromptGain, true
		}
		return 0, true
	})
}

// cheapest returns up to count targets, the cheapest first by weights of their loads. adjust returns what is added to the cost of a target, and
// false to leave it out.
func (p *Picker) cheapest(want Want, count int, weights route.Weights, adjust func(entry) (float64, bool)) []entry {
	targets := candidatesFor(p.targetTable.Load(), want)
	order := newSessionOrder(want.Session, targets)
	var best []candidate
	for i, target := range targets {
		adjustment, ok := adjust(target)
		if !ok {
			continue
		}
		cost := weights.Cost(target.state.ownLoad(), target.state.remoteLoad.Load()) + costPerRank*float64(order.Rank(i)) + adjustment
		next := candidate{target: target, preference: route.Preference{Cost: cost, Score: order.Score(i), Name: target.Name}}
		for j := range best {
			if next.preference.Precedes(best[j].preference) {
				best[j], next = next, best[j]
			}
		}
		if len(best) < count {
			best = append(best, next)
		}
	}
	chosen := make([]entry, len(best))
	for i, c := range best {
		chosen[i] = c.target
	}
	return chosen
}

// Backup chooses the target that keeps a replica of a stream's prompt memory, from which the stream can be resumed: the
// one with the lowest cost outside the given failure domain or, when there is none, inside it. It returns false when no
// candidate has memory left.
func (p *Picker) Backup(want Want, domain string) (site.Target, bool) {
	p.refreshSums()
	best := p.cheapest(want, 1, route.PlainWeights(), func(target entry) (float64, bool) {
		if target.Domain == domain {
			return sameDomainCost, target.state.hasReplicaRoom(want)
		}
		return 0, target.state.hasReplicaRoom(want)
	})
	if len(best) == 0 {
		return site.Target{}, false
	}
	return *best[0].Target, true
}

// IsSound reports whether a target is neither removed, restarted, draining, paused nor suspect.
func (p *Picker) IsSound(target site.Target) bool {
	_, ok := p.soundEntry(target)
	return ok
}

// HasSound reports whether a service has a target that takes new requests, is not suspect and is not avoided.
func (p *Picker) HasSound(want Want) bool {
	if want.Room {
		p.refreshSums()
	}
	now := time.Now()
	return slices.ContainsFunc(p.targetTable.Load().available[want.Service], func(target entry) bool {
		return !want.Avoid[target.Name] && !target.state.healthStatus.Load().IsSuspect(now) && !target.state.isPaused(now) && target.state.suits(want) && want.rank(target) != Excluded
	})
}

// IsCurrent reports whether a target was not removed, restarted or told to drain since it was chosen.
func (p *Picker) IsCurrent(target site.Target) bool {
	_, ok := p.currentEntry(target)
	return ok
}

// Sound picks a given target for a stream if IsSound holds for it.
func (p *Picker) Sound(target site.Target, want Want) (*Pick, bool) {
	current, ok := p.soundEntry(target)
	if !ok || want.rank(current) == Excluded {
		return nil, false
	}
	want.Prompt = 0
	return p.reserveStream(current, want), true
}

// soundEntry returns the current entry of a target, and false unless IsSound holds for it.
func (p *Picker) soundEntry(target site.Target) (entry, bool) {
	current, ok := p.currentEntry(target)
	now := time.Now()
	return current, ok && !current.state.healthStatus.Load().IsSuspect(now) && !current.state.isPaused(now)
}

// currentEntry returns the current entry of a target, and false if it was removed, restarted or has started to drain.
func (p *Picker) currentEntry(target site.Target) (entry, bool) {
	current, ok := p.targetTable.Load().entry(target.Name)
	return current, ok && !current.Leaving && current.IsSameStart(target)
}

// reserveStream counts a stream on a target and records the target as that of the session.
func (p *Picker) reserveStream(target entry, want Want) *Pick {
	k := p.reserve(target, want.Prompt)
	k.isStream, k.session = true, want.Session
	k.targetState.streams.Add(1)
	k.isCached = p.places.Add(want.Session, target.Name)
	if want.Prompt > 0 {
		prompts := p.prompts.At(target.Service)
		if prompts.Load().AreMixed() && p.LoadAge() >= minOldLoad {
			p.placedBySize.Inc()
		}
		cell.TryUpdate(prompts, func(r route.Prompts) (route.Prompts, bool) { return r.WithSize(want.Prompt), true })
	}
	return k
}

// Keep counts a replica on a target until release is called.
func (p *Picker) Keep(target site.Target) (release func()) {
	current, ok := p.targetTable.Load().entry(target.Name)
	if !ok {
		return func() {}
	}
	current.state.replicas.Add(1)
	return sync.OnceFunc(func() { current.state.replicas.Add(-1) })
}

// reserve counts a request on a target.
func (p *Picker) reserve(target entry, promptTokens int) *Pick {
	target.state.inFlight.Add(1)
	target.state.unreadTokens.Add(int64(promptTokens))
	return &Pick{Target: *target.Target, targetState: target.state, picker: p, promptTokens: promptTokens, pickedAt: time.Now()}
}

// ownLoad returns what this instance has running at the target.
func (s *targetState) ownLoad() route.Load {
	return route.Load{Streams: int(s.streams.Load()), Replicas: int(s.replicas.Load()), Unread: int(s.unreadTokens.Load())}
}

// suits reports whether the target has room for one more stream if want asks for that.
func (s *targetState) suits(want Want) bool {
	return !want.Room || s.hasRoom(want, streamMemoryShare)
}

// hasReplicaRoom reports whether the target has memory for one more replica. When memory runs short, replicas would make
// streams wait.
func (s *targetState) hasReplicaRoom(want Want) bool {
	return s.hasRoom(want, replicaMemoryShare)
}

// hasRoom reports whether one more stream or replica fits into a share of the target's memory, assuming that each takes as
// much as want's prompt.
func (s *targetState) hasRoom(want Want, share float64) bool {
	return want.Memory == 0 || want.Prompt == 0 || s.ownLoad().Plus(*s.remoteLoad.Load()).HasRoom(want.Prompt, share*float64(want.Memory))
}

// candidate is a target with its preference among the targets for a stream.
type candidate struct {
	target     entry
	preference route.Preference
}

// newSessionOrder orders targets for a session.
func newSessionOrder(session string, targets []entry) *route.Order {
	return route.NewOrder(session, len(targets), func(i int) string { return targets[i].Name })
}

// candidatesFor returns the targets of a service that take new requests and are neither avoided nor suspect or, when
// there is none, the suspect ones that have not ended. If the request's version choice ranks them, it returns those of
// the lowest rank.
func candidatesFor(t targetTable, want Want) []entry {
	now := time.Now()
	available := t.available[want.Service]
	healthy := route.Lowest[entry]{Items: make([]entry, 0, len(available))}
	var suspects route.Lowest[entry]
	for _, target := range available {
		healthStatus, rank := target.state.healthStatus.Load(), want.rank(target)
		switch {
		case rank == Excluded || want.Avoid[target.Name] || healthStatus.IsReplaced() || !target.state.suits(want) || target.state.isPaused(now):
		case healthStatus.IsSuspect(now):
			suspects.Add(target, rank)
		default:
			healthy.Add(target, rank)
		}
	}
	if len(healthy.Items) == 0 {
		return suspects.Items
	}
	return healthy.Items
}
