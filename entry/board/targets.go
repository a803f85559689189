package board

import (
	"sync"

	"bramleywharf.example/core/mirror"
	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/feed"
	"github.com/apex/log"
)

// Targets decodes the stored objects of targets.
type Targets struct {
	*feed.Feed
	decode DecodeTarget
	log    log.Interface

	mu      sync.Mutex
	decoded []site.Target // decoded is sorted by name; an invalid or removed target has no address.
	// era and baseline are those of the view that decoded belongs to.
	era, baseline uint64
}

// NewTargets returns the targets that a feed follows.
func NewTargets(f *feed.Feed, decode DecodeTarget, logger log.Interface) *Targets {
	return &Targets{Feed: f, decode: decode, log: logger}
}

// Targets returns all valid targets, sorted by name; objects that did not change are not decoded again.
func (t *Targets) Targets() []site.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := t.View()
	previous := t.decoded
	if view.Era() != t.era || view.Baseline() != t.baseline {
		previous, t.era, t.baseline = nil, view.Era(), view.Baseline()
	}
	next := make([]site.Target, 0, len(t.decoded)+1)
	invalidCount := 0
	for o := range view.Live() {
		for len(previous) > 0 && previous[0].Name < o.Name {
			previous = previous[1:]
		}
		if len(previous) > 0 && previous[0].Name == o.Name && previous[0].Revision == o.Revision {
			next = append(next, previous[0])
		} else {
			next = append(next, t.restored(view, o, t.decodeOrIgnore(o)))
		}
		if next[len(next)-1].Address == "" {
			invalidCount++
		}
	}
	t.decoded = next
	if invalidCount == 0 {
		return next
	}
	valid := make([]site.Target, 0, len(next)-invalidCount)
	for _, target := range next {
		if target.Address != "" {
			valid = append(valid, target)
		}
	}
	return valid
}

// restored returns the target of an object, given what the earlier eras of the store held under its name. A target that
// they held as removed has no address.
func (t *Targets) restored(view mirror.View, o mirror.Object, target site.Target) site.Target {
	target.Era = view.Era()
	earlier, ok := view.Earlier(o)
	if !ok || target.Address == "" {
		return target
	}
	before, _ := t.decode(earlier) // An entry that could not be used had no state.
	target, ok = target.WithEarlier(before, earlier.Deleted)
	if !ok {
		return site.Target{Name: o.Name, Era: view.Era(), Revision: o.Revision}
	}
	return target
}

// decodeOrIgnore returns the target of an object, or one without an address if the object is invalid.
func (t *Targets) decodeOrIgnore(o mirror.Object) site.Target {
	target, err := t.decode(o)
	if err == nil {
		return target
	}
	t.log.WithError(err).WithFields(log.Fields{"entry": o.Name, "revision": o.Revision}).
		Warn("target entry is invalid; ignoring it")
	return site.Target{Name: o.Name, Revision: o.Revision}
}
