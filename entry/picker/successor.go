package picker

import (
	"time"

	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"github.com/apex/log"
)

// Adopt takes a target that has the address of another one, and is of its service, into that one's place until the platform lists it.
func (p *Picker) Adopt(of site.Target, name string) {
	p.follow(site.Successor{Of: of, Name: name, Found: time.Now()}, "found here")
	p.reconcile()
}

// endedLife is how long a target that has ended is remembered: longer than an older entry with its address lasts, three heartbeats, also over an outage of some seconds.
const endedLife = time.Minute

// end remembers a target that was used and is not listed any more.
func (p *Picker) end(name string, now time.Time) {
	p.ended.Store(name, now)
	p.ended.Range(func(name, at any) bool {
		if now.Sub(at.(time.Time)) > endedLife {
			p.ended.Delete(name)
		}
		return true
	})
}

// follow adds a successor and tells whether it is news. One that was listed before and has ended still answers for a while, but must get no work.
func (p *Picker) follow(successor site.Successor, cause string) bool {
	if _, ended := p.ended.Load(successor.Name); ended {
		return false
	}
	news := false
	p.successors.Update(func(s site.Successors) site.Successors {
		s, news = s.WithSuccessor(successor)
		return s
	})
	if news {
		p.log.WithFields(log.Fields{"target": successor.Name, "address": successor.Of.Address, "old-target": successor.Of.Name, "cause": cause}).Info("target is used before it is listed")
	}
	return news
}

// inherit takes the successors that other instances found, as far as the targets that they follow are known here.
func (p *Picker) inherit(successors []wire.Successor, now time.Time) {
	news := false
	for _, h := range successors {
		of, ok := p.table.Load().roster.Get(h.Of)
		if !ok || of.Address != h.Address || of.Started != h.Started {
			continue
		}
		news = p.follow(site.Successor{Of: of, Name: h.Name, Found: now.Add(-h.Age)}, "found by a peer") || news
	}
	if news {
		p.reconcile()
	}
}
