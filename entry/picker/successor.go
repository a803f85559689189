package picker

import (
	"time"

	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"github.com/apex/log"
)

// Adopt replaces a target by a successor, which answers at its address and belongs to the same service, until the
// platform lists the successor.
func (p *Picker) Adopt(predecessor site.Target, successorName string) {
	p.addSuccessor(site.Successor{Predecessor: predecessor, Name: successorName, FoundAt: time.Now()}, "found here")
	p.Reconcile()
}

// MarkLeaving records that a target has said that it is leaving; it gets no more requests.
func (p *Picker) MarkLeaving(target site.Target) {
	now := time.Now()
	if p.departures.Load().IsLeaving(target, now) {
		return
	}
	p.departures.Update(func(d site.Departures) site.Departures { return d.WithLeaving(target, now) })
	p.Reconcile()
}

// addSuccessor adds a successor and returns whether it was not known before. One that was listed and has ended is not
// added: it still answers for a while but must get no work.
func (p *Picker) addSuccessor(successor site.Successor, cause string) bool {
	if p.departures.Load().HasEnded(successor.Name) {
		return false
	}
	isNew := false
	p.successors.UpdateNotify(func(s site.Successors) (site.Successors, bool) {
		s, isNew = s.WithSuccessor(successor)
		return s, isNew
	})
	if isNew {
		p.log.WithFields(log.Fields{"target": successor.Name, "address": successor.Predecessor.Address, "old-target": successor.Predecessor.Name, "cause": cause}).Info("target is used before the platform lists it")
	}
	return isNew
}

// mergeSuccessors adds the successors that other instances reported if the targets that they replace are known here.
func (p *Picker) mergeSuccessors(successors []wire.Successor, now time.Time) {
	anyNew := false
	for _, successor := range successors {
		predecessor, ok := p.targetTable.Load().targetSet.Get(successor.Predecessor)
		if !ok || predecessor.Address != successor.PredecessorAddress || predecessor.StartID != successor.PredecessorStartID {
			continue
		}
		anyNew = p.addSuccessor(site.Successor{Predecessor: predecessor, Name: successor.Name, FoundAt: now.Add(-successor.Age)}, "found by a peer") || anyNew
	}
	if anyNew {
		p.Reconcile()
	}
}
