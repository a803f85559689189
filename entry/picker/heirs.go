package picker

import (
	"time"

	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"github.com/apex/log"
)

// Adopt takes a target that has the address of another one, and is of its service, into that one's place until the platform lists it.
func (p *Picker) Adopt(of site.Target, name string) {
	p.follow(site.Heir{Of: of, Name: name, Found: time.Now()}, "found here")
	p.reconcile()
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
