package picker

import (
	"time"

	"bramleywharf.example/core/wire"
)

const (
	loadLife       = 3 * time.Second // loadLife is the age from which what an instance said of its load is forgotten; it says so anew every second or so, in a large fleet less often.
	missed         = 2.5             // missed is how many times a statement may fail to come anew before it is forgotten, where that takes longer.
	sequenceOfLife = 1 << 32         // sequenceOfLife is more than the statements of one start.
)

// statement is what an instance said of its load, and when it was heard here.
type statement struct {
	load  wire.Load
	heard time.Time
}

// Expect takes the time in which statements come anew.
func (p *Picker) Expect(period time.Duration) {
	p.life.Store(int64(max(loadLife, time.Duration(missed*float64(period)))))
}

// lapsed tells whether a statement is too old to count.
func (p *Picker) lapsed(s statement, now time.Time) bool {
	return now.Sub(s.heard) > time.Duration(p.life.Load())
}

// Known tells which statements of other instances are held.
func (p *Picker) Known() []wire.Said {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make([]wire.Said, 0, len(p.heard))
	for name, s := range p.heard {
		known = append(known, wire.Said{Instance: name, Sequence: s.load.Sequence})
	}
	return known
}

// Newer returns the statements that a peer lacks, this instance's included.
func (p *Picker) Newer(known []wire.Said) []wire.Load {
	now := time.Now()
	has := make(map[string]uint64, len(known))
	for _, s := range known {
		has[s.Instance] = s.Sequence
	}
	loads := []wire.Load{p.Own()}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.heard {
		switch {
		case p.lapsed(s, now):
			delete(p.heard, name)
		case s.load.Sequence > has[name]:
			loads = append(loads, s.load)
		}
	}
	return loads
}

// Own returns a new statement of this instance's load.
func (p *Picker) Own() wire.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	l := wire.Load{Instance: p.name, Sequence: p.sequence, Targets: p.own(), Runs: p.ownRuns(time.Now())}
	p.dark.Range(func(domain, at any) bool {
		if age := time.Since(at.(time.Time)); age < loadLife {
			l.Lost = append(l.Lost, wire.DomainLoss{Domain: domain.(string), Age: age})
		}
		return true
	})
	if usage := p.usage.Load(); usage != nil {
		l.Spent = (*usage)()
	}
	for _, h := range p.successors.Load().Unlisted() {
		l.Successors = append(l.Successors, wire.Successor{Name: h.Name, Of: h.Of.Name, Started: h.Of.Started, Address: h.Of.Address, Age: time.Since(h.Found)})
	}
	return l
}

// Report sets the function that tells what this instance sent to each service lately.
func (p *Picker) Report(usage func() []wire.Usage) {
	p.usage.Store(&usage)
}

// Used returns what all other instances sent to a service lately, as far as it is known here.
func (p *Picker) Used(service string) wire.Usage {
	p.freshen()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used[service]
}

// Merge takes what a peer knows, the newest statement of each instance.
func (p *Picker) Merge(loads []wire.Load) {
	now := time.Now()
	var successors []wire.Successor
	p.mu.Lock()
	for _, l := range loads {
		if known, ok := p.heard[l.Instance]; l.Instance != p.name && (!ok || l.Sequence > known.load.Sequence) {
			p.heard[l.Instance] = statement{load: l, heard: now}
			p.notice(l.Lost, now)
			successors = append(successors, l.Successors...)
		}
	}
	p.mu.Unlock()
	p.stale.Store(true)
	p.inherit(successors, now)
}

// notice takes the losses of another instance as evidence of the same kind as its own.
func (p *Picker) notice(losses []wire.DomainLoss, now time.Time) {
	for _, l := range losses {
		at := now.Add(-l.Age)
		if known, ok := p.dark.Load(l.Domain); !ok || known.(time.Time).Before(at) {
			p.dark.Store(l.Domain, at)
		}
	}
}

// Name sets the name under which this instance states its load, and the number of its start.
func (p *Picker) Name(name string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.name = name
	p.sequence = incarnation * sequenceOfLife
}

// own returns this instance's load.
func (p *Picker) own() []wire.TargetLoad {
	var own []wire.TargetLoad
	for name, s := range p.table.Load().states {
		l := wire.TargetLoad{Target: name, Flying: int(s.streams.Load()), Tokens: int(s.reading.Load()), Copies: int(s.copies.Load())}
		if l.Flying > 0 || l.Tokens > 0 || l.Copies > 0 {
			own = append(own, l)
		}
	}
	return own
}

// freshen adds statements up that came since the last time; choices are rarer than statements.
func (p *Picker) freshen() {
	if !p.stale.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale.Swap(false) {
		p.spread(time.Now())
	}
}

// spread adds the loads of other instances up for each target.
func (p *Picker) spread(now time.Time) {
	sums := make(map[string]wire.TargetLoad)
	p.elsewhere = make(map[string]string)
	p.used = make(map[string]wire.Usage)
	for _, s := range p.heard {
		if p.lapsed(s, now) {
			continue
		}
		for _, u := range s.load.Spent {
			sum := p.used[u.Service]
			sum.Requests += u.Requests
			sum.Repeats += u.Repeats
			p.used[u.Service] = sum
		}
		for _, r := range s.load.Runs {
			p.elsewhere[r.Session] = r.Target
		}
		for _, l := range s.load.Targets {
			sum := sums[l.Target]
			sum.Flying += l.Flying
			sum.Tokens += l.Tokens
			sum.Copies += l.Copies
			sums[l.Target] = sum
		}
	}
	for name, s := range p.table.Load().states {
		sum := sums[name]
		s.others.Store(&sum)
	}
}
