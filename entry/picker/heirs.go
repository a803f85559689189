package picker

import (
	"time"

	"bramleywharf.example/core/health"
	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"github.com/apex/log"
)

// staleAfter is the age from which the platform's list is not waited for; news of it passes a large fleet in that time.
const staleAfter = 2 * time.Second

// Adopt takes a target that has the address of another one, and is of its service, into that one's place until the platform lists it.
func (p *Picker) Adopt(of site.Target, name string) {
	p.follow(site.Heir{Of: of, Name: name, Found: time.Now()}, "found here")
	p.reconcile()
}

// Back notes that a lost target answers again.
func (p *Picker) Back(target site.Target) {
	if s, ok := p.stateOf(target); ok {
		s.update(health.Belief.WithLife)
	}
}

// End notes that another target has the address of this one.
func (p *Picker) End(target site.Target) {
	if s, ok := p.stateOf(target); ok {
		s.update(health.Belief.WithEnd)
	}
}

// Listed tells whether the platform's list is as it was a moment ago.
func (p *Picker) Listed() bool {
	return p.source.Age() < staleAfter
}

// Missing returns the targets that this instance lost and has not heard of since.
func (p *Picker) Missing() []site.Target {
	t := p.table.Load()
	var missing []site.Target
	for _, target := range t.roster.All() {
		if t.states[target.Name].belief.Load().Lost() {
			missing = append(missing, target)
		}
	}
	return missing
}

// stateOf returns the state of a start of a target that is still known.
func (p *Picker) stateOf(target site.Target) (*state, bool) {
	t := p.table.Load()
	if now, ok := t.roster.Get(target.Name); !ok || !now.Follows(target) {
		return nil, false
	}
	return t.states[target.Name], true
}

// follow adds an heir and tells whether it is news.
func (p *Picker) follow(heir site.Heir, cause string) bool {
	news := false
	p.heirs.Update(func(h site.Heirs) site.Heirs {
		h, news = h.WithHeir(heir)
		return h
	})
	if news {
		p.log.WithFields(log.Fields{"target": heir.Name, "address": heir.Of.Address, "old-target": heir.Of.Name, "cause": cause}).Info("target is used before it is listed")
	}
	return news
}

// inherit takes the heirs that other instances found, as far as the targets that they follow are known here.
func (p *Picker) inherit(heirs []wire.Heir, now time.Time) {
	news := false
	for _, h := range heirs {
		of, ok := p.table.Load().roster.Get(h.Of)
		if !ok || of.Address != h.Address || of.Started != h.Started {
			continue
		}
		news = p.follow(site.Heir{Of: of, Name: h.Name, Found: now.Add(-h.Age)}, "found by a peer") || news
	}
	if news {
		p.reconcile()
	}
}
