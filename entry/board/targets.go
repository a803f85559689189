package board

import (
	"sync"

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
	decoded map[string]site.Target // decoded holds targets by name; an invalid one has no address.
}

// NewTargets returns the targets that a feed follows.
func NewTargets(f *feed.Feed, decode DecodeTarget, logger log.Interface) *Targets {
	return &Targets{Feed: f, decode: decode, log: logger, decoded: make(map[string]site.Target)}
}

// Targets returns all valid targets; objects that did not change are not decoded again.
func (t *Targets) Targets() []site.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := t.View().Live()
	next := make(map[string]site.Target, len(live))
	list := make([]site.Target, 0, len(live))
	for _, o := range live {
		target, ok := t.decoded[o.Name]
		if !ok || target.Revision != o.Revision {
			var err error
			target, err = t.decode(o)
			if err != nil {
				t.log.WithError(err).WithFields(log.Fields{"entry": o.Name, "revision": o.Revision}).
					Warn("target entry is invalid; ignoring it")
				target = site.Target{Name: o.Name, Revision: o.Revision}
			}
		}
		next[o.Name] = target
		if target.Address != "" {
			list = append(list, target)
		}
	}
	t.decoded = next
	return list
}
