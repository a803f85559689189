package feed_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/feed"
	"github.com/frankban/quicktest"
)

// sentBytes records how many bytes of the configuration an instance sent, and when.
type sentBytes struct {
	mu    sync.Mutex
	times []time.Time
	sizes []int
}

// add records the configuration in an answer.
func (s *sentBytes) add(answer wire.Message) {
	updates, ok := answer.(wire.Updates)
	if !ok {
		return
	}
	for _, k := range updates.Kinds {
		for _, o := range k.Objects {
			if k.Kind != "config" {
				continue
			}
			s.mu.Lock()
			s.times, s.sizes = append(s.times, time.Now()), append(s.sizes, len(o.Value))
			s.mu.Unlock()
		}
	}
}

// most returns the largest number of bytes sent within a span of time.
func (s *sentBytes) most(span time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, sum, first := 0, 0, 0
	for last, size := range s.sizes {
		sum += size
		for s.times[last].Sub(s.times[first]) >= span {
			sum -= s.sizes[first]
			first++
		}
		most = max(most, sum)
	}
	return most
}

// TestConfigurationLeavesLinksFree checks that a new configuration, which all instances want at once, neither fills the
// links of those that have it first nor comes late.
func TestConfigurationLeavesLinksFree(t *testing.T) {
	const (
		applied = 3 * time.Second // applied is the time in which a change has to be applied everywhere.
		// eventDelay is the time within which an event has to be passed on to its caller, over the same link.
		eventDelay = 200 * time.Millisecond
		linkRate   = 10_000_000 / 8 // linkRate is that of the smallest machines, in bytes a second.
	)
	cases := map[string]struct {
		size  int // size is the number of instances.
		bytes int // bytes is the size of the configuration.
	}{
		"fleet-of-76":               {size: 76, bytes: 13 << 10},
		"fleet-of-89":               {size: 89, bytes: 13 << 10},
		"fleet-of-76-with-routes":   {size: 76, bytes: 48 << 10},
		"fleet-of-76-with-hundreds": {size: 76, bytes: 100 << 10},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Millisecond)
				config, targets := newMemoryStore(), newMemoryStore()
				targets.put("target")
				n := startFleet(t, test.size, 4, 0, config, targets)
				time.Sleep(6 * time.Second)
				n.checkSpread(t, "config", n.spreadTimes(config.putSized("main", test.bytes), func(i *instance) *feed.Feed { return i.config }), applied)
				most := 0
				for _, i := range n.instances {
					most = max(most, i.sent.most(eventDelay))
				}
				t.Logf("at most %d KB in %v", most>>10, eventDelay)
				c.Assert(most <= max(test.bytes, int(linkRate*eventDelay.Seconds()/2)), quicktest.IsTrue)
			})
		})
	}
}
