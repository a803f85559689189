package board

import (
	"sync"

	"bramleywharf.example/core/site"
	"bramleywharf.example/entry/feed"
	"github.com/apex/log"
)

// Targets keeps the decoded entries of targets.
type Targets struct {
	*feed.Feed
	decode DecodeTarget
	log    log.Interface

	mu    sync.Mutex
	known map[string]site.Target // known holds decoded entries by name; one without an address names no target.
}

// NewTargets returns the targets of a feed.
func NewTargets(f *feed.Feed, decode DecodeTarget, logger log.Interface) *Targets {
	return &Targets{Feed: f, decode: decode, log: logger, known: make(map[string]site.Target)}
}

// Targets returns all declared targets that can be read; entries that did not change are not decoded again.
func (t *Targets) Targets() []site.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := t.View().Live()
	next := make(map[string]site.Target, len(live))
	list := make([]site.Target, 0, len(live))
	for _, o := range live {
		target, ok := t.known[o.Name]
		if !ok || target.Revision != o.Revision {
			var err error
			target, err = t.decode(o)
			if err != nil {
				t.log.WithError(err).WithFields(log.Fields{"entry": o.Name, "revision": o.Revision}).Warn("entry is not used")
				target = site.Target{Name: o.Name, Revision: o.Revision}
			}
		}
		next[o.Name] = target
		if target.Address != "" {
			list = append(list, target)
		}
	}
	t.known = next
	return list
}
