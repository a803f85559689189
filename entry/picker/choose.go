package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bramleywharf.example/core/health"
	"bramleywharf.example/core/route"
	"bramleywharf.example/core/site"
	"github.com/apex/log"
)

const (
	plainLatency  = 20 * time.Millisecond // plainLatency stands in for the latency of a target that has not answered yet.
	explore       = 0.03                  // explore is the share of plain requests that go to a random sound target, so that a belief is renewed.
	rankCost      = 0.5                   // rankCost is how many streams the next place in the order of a session outweighs.
	readCost      = 1.0 / 8000            // readCost makes an unread prompt of 8,000 tokens count as much as a running stream.
	copyCost      = 0.4                   // copyCost is how many streams a copy outweighs: it takes the memory of one and no time.
	placeGain     = 6                     // placeGain is how many streams the target outweighs that has read the session's prompt: reading 8,000 tokens again takes a second of its time and is dear.
	copyRoom      = 0.75                  // copyRoom is the part of a target's memory up to which it takes copies.
	sessionWidth  = 4                     // sessionWidth is the number of targets that a session's streams are spread over.
	suspectWeight = 1000                  // suspectWeight puts suspects behind every other target.
)

// Pick is a target that was chosen, with one request counted there until Release.
type Pick struct {
	Target  site.Target
	state   *state
	picker  *Picker
	prompt  int
	stream  bool
	session string // session is that of a stream.
}

// Want describes the request that a target is chosen for.
type Want struct {
	Service string
	Session string // Session makes the same order of targets on every instance, or is empty.
	Prompt  int    // Prompt is the number of tokens to be read, or 0.
	Memory  int    // Memory is the capacity of one target in tokens, or 0.
	Avoid   map[string]bool
}

// Plain chooses a target for a request that is answered as a whole.
func (p *Picker) Plain(w Want) (*Pick, bool) {
	t := p.table.Load()
	open := sound(t, w)
	if len(open) == 0 {
		return nil, false
	}
	now := time.Now()
	best, cost := 0, 0.0
	for i, target := range open {
		s := t.states[target.Name]
		belief := s.belief.Load()
		own := float64(s.flying.Load()+1) * belief.Cost(now, plainLatency) * (1 + rand.Float64()/4)
		if i == 0 || own < cost {
			best, cost = i, own
		}
	}
	if rand.Float64() < explore {
		best = rand.IntN(len(open))
	}
	return p.hold(t, *open[best], 0), true
}

// Stream chooses a target for a stream: among the first few in the order of its session, the one with the least to do.
func (p *Picker) Stream(w Want) (*Pick, bool) {
	p.freshen()
	t := p.table.Load()
	open := sound(t, w)
	if len(open) == 0 {
		return nil, false
	}
	order := newOrder(w.Session, open)
	before := p.placeOf(w.Session)
	best := choice{}
	for i, target := range open {
		load := t.states[target.Name].load() + order.cost(i)
		if target.Name == before {
			load -= placeGain
		}
		best = best.better(target, load, order.scores[i])
	}
	return p.fly(t, *best.target, w), true
}

// Backup chooses the target that keeps a copy of a stream: the first in the order of its session outside a failure domain.
func (p *Picker) Backup(w Want, domain string) (site.Target, bool) {
	p.freshen()
	t := p.table.Load()
	open := sound(t, w)
	order := newOrder(w.Session, open)
	best := choice{}
	for i, target := range open {
		if !t.states[target.Name].roomy(w) {
			continue
		}
		own := t.states[target.Name].load() + order.cost(i)
		if target.Domain == domain {
			own += suspectWeight
		}
		best = best.better(target, own, order.scores[i])
	}
	if best.target == nil {
		return site.Target{}, false
	}
	return *best.target, true
}

// IsSound tells whether a target is open under the same start and not suspect.
func (p *Picker) IsSound(target site.Target) bool {
	t := p.table.Load()
	now, ok := t.roster.Get(target.Name)
	return ok && !now.Leaving && now.Follows(target) &&
		!t.states[target.Name].belief.Load().Suspect(time.Now())
}

// Sound holds a target for a stream if it is sound.
func (p *Picker) Sound(target site.Target, w Want) (*Pick, bool) {
	if !p.IsSound(target) {
		return nil, false
	}
	t := p.table.Load()
	now, ok := t.roster.Get(target.Name)
	if !ok {
		return nil, false
	}
	w.Prompt = 0
	return p.fly(t, now, w), true
}

// fly counts a stream on a target.
func (p *Picker) fly(t table, target site.Target, w Want) *Pick {
	k := p.hold(t, target, w.Prompt)
	k.stream, k.session = true, w.Session
	k.state.streams.Add(1)
	p.enter(w.Session, target.Name)
	return k
}

// Keep counts a copy that a target keeps until release is called.
func (p *Picker) Keep(target site.Target) (release func()) {
	s, ok := p.table.Load().states[target.Name]
	if !ok {
		return func() {}
	}
	s.copies.Add(1)
	return sync.OnceFunc(func() { s.copies.Add(-1) })
}

// hold counts a request on a target.
func (p *Picker) hold(t table, target site.Target, prompt int) *Pick {
	s := t.states[target.Name]
	s.flying.Add(1)
	s.reading.Add(int64(prompt))
	return &Pick{Target: target, state: s, picker: p, prompt: prompt}
}

// DomainLostSince tells whether this instance lost any target of the failure domain after a time.
func (k *Pick) DomainLostSince(at time.Time) bool {
	lost, ok := k.picker.dark.Load(k.Target.Domain)
	return ok && lost.(time.Time).After(at)
}

// Failed notes that the target failed the request by itself.
func (k *Pick) Failed() {
	k.state.update(func(b health.Belief) health.Belief { return b.WithFailure(time.Now()) })
}

// Gone notes that another target answered at the address, so that this one has ended, and tells whether that is news.
func (k *Pick) Gone() bool {
	known := k.state.belief.Load().Gone()
	if !known {
		k.picker.log.WithFields(log.Fields{"target": k.Target.Name, "address": k.Target.Address, "revision": k.Target.Revision}).Warn("another target has the address")
	}
	k.state.update(health.Belief.WithEnd)
	return !known
}

// Heard notes a sign of life.
func (k *Pick) Heard() {
	if k.state.belief.Load().Suspect(time.Now()) {
		k.state.update(health.Belief.WithLife)
	}
}

// Latency returns the mean latency of the target's whole answers, or 0.
func (k *Pick) Latency() time.Duration {
	return k.state.belief.Load().Latency()
}

// Lost notes that the target could not be reached or fell silent.
func (k *Pick) Lost(cause string) {
	k.picker.losses.Inc()
	k.picker.dark.Store(k.Target.Domain, time.Now())
	suspect := k.state.belief.Load().Suspect(time.Now())
	k.state.update(func(b health.Belief) health.Belief { return b.WithLoss(time.Now()) })
	if !suspect {
		k.picker.log.WithFields(log.Fields{"target": k.Target.Name, "domain": k.Target.Domain, "cause": cause}).Warn("target is suspect")
	}
}

// Read notes that the prompt was read.
func (k *Pick) Read() {
	k.state.reading.Add(-int64(k.prompt))
	k.prompt = 0
}

// Release counts the request off.
func (k *Pick) Release() {
	k.Read()
	k.state.flying.Add(-1)
	if k.stream {
		k.state.streams.Add(-1)
		k.picker.exit(k.session, k.Target.Name)
	}
}

// Succeeded notes a whole answer.
func (k *Pick) Succeeded(took time.Duration) {
	k.state.update(func(b health.Belief) health.Belief { return b.WithSuccess(time.Now(), took) })
}

// load returns what all instances have running at a target, in streams.
func (s *state) load() float64 {
	others := s.others.Load()
	return float64(s.streams.Load()+int64(others.Flying)) +
		readCost*float64(s.reading.Load()+int64(others.Tokens)) +
		copyCost*float64(s.copies.Load()+int64(others.Copies))
}

// roomy tells whether a target has room for one more copy; when memory runs short, copies would make runs wait.
func (s *state) roomy(w Want) bool {
	if w.Memory == 0 || w.Prompt == 0 {
		return true
	}
	others := s.others.Load()
	held := s.streams.Load() + s.copies.Load() + int64(others.Flying+others.Copies) + 1
	return float64(held*int64(w.Prompt)) <= copyRoom*float64(w.Memory)
}

// choice is the best target so far; its zero value is none.
type choice struct {
	target *site.Target
	cost   float64
	score  uint64
}

// better returns the target of lower cost, of equal ones the first in the order of their session.
func (c choice) better(target *site.Target, cost float64, score uint64) choice {
	switch {
	case c.target == nil, cost < c.cost:
	case cost > c.cost, score < c.score, score == c.score && target.Name > c.target.Name:
		return c
	}
	return choice{target: target, cost: cost, score: score}
}

// order is that of a session, the same on every instance; without a session it is random. Only the first few places matter, so nothing is sorted.
type order struct {
	scores []uint64
	first  [sessionWidth]int // first holds the targets of the first places; -1 is none.
}

// newOrder returns the order of targets for a session.
func newOrder(session string, targets []*site.Target) *order {
	o := &order{scores: make([]uint64, len(targets))}
	for place := range o.first {
		o.first[place] = -1
	}
	for i, t := range targets {
		if session == "" {
			o.scores[i] = rand.Uint64()
		} else {
			o.scores[i] = route.Score(session, t.Name)
		}
		o.insert(i, targets)
	}
	return o
}

// cost returns what a target's place in the order counts.
func (o *order) cost(i int) float64 {
	place := slices.Index(o.first[:], i)
	if place < 0 {
		place = sessionWidth
	}
	return rankCost * float64(place)
}

// insert takes a target into the first places if it belongs there.
func (o *order) insert(i int, targets []*site.Target) {
	for place, other := range o.first {
		if other >= 0 && (o.scores[other] > o.scores[i] || o.scores[other] == o.scores[i] && targets[other].Name < targets[i].Name) {
			continue
		}
		copy(o.first[place+1:], o.first[place:])
		o.first[place] = i
		return
	}
}

// sound returns the open targets of a service that are neither suspect nor to be avoided; when there is none, the suspects too.
func sound(t table, w Want) []*site.Target {
	now := time.Now()
	open := t.roster.Open(w.Service)
	healthy := make([]*site.Target, 0, len(open))
	var rest []*site.Target
	for i := range open {
		target := &open[i]
		belief := t.states[target.Name].belief.Load()
		switch {
		case w.Avoid[target.Name] || belief.Gone():
		case belief.Suspect(now):
			rest = append(rest, target)
		default:
			healthy = append(healthy, target)
		}
	}
	if len(healthy) == 0 {
		return rest
	}
	return healthy
}
