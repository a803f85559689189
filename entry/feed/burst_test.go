package feed_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleywharf.example/core/wire"
	"bramleywharf.example/entry/feed"
	"github.com/frankban/quicktest"
)

// sentBytes records how many bytes of one sort an instance sent, and when.
type sentBytes struct {
	mu    sync.Mutex
	times []time.Time
	sizes []int
}

// add records a number of bytes.
func (s *sentBytes) add(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times, s.sizes = append(s.times, time.Now()), append(s.sizes, size)
}

// record records the configuration and the load reports in an answer.
func (i *instance) record(answer wire.Message) {
	updates, ok := answer.(wire.Updates)
	if !ok {
		return
	}
	for _, k := range updates.Kinds {
		for _, o := range k.Objects {
			if k.Kind == "config" {
				i.sent.add(len(o.Value))
			}
		}
	}
	for _, r := range updates.Reports {
		i.sentReports.add(len(r.Instance))
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

// linkRate is that of the smallest machines, in bytes a second.
const linkRate = 10_000_000 / 8

// eventDelay is the time within which an event has to be passed on to its caller, over the same link.
const eventDelay = 200 * time.Millisecond

// sizedLoads reports loads of a number of bytes.
type sizedLoads struct {
	noLoads
	bytes int
}

// Newer returns a report of that size.
func (l sizedLoads) Newer([]wire.ReportVersion) []wire.LoadReport {
	return []wire.LoadReport{{Instance: strings.Repeat("x", l.bytes)}}
}

// TestConfigurationLeavesLinksFree checks that a new configuration, which all instances want at once, neither fills the
// links of those that have it first nor comes late.
func TestConfigurationLeavesLinksFree(t *testing.T) {
	const applied = 3 * time.Second // applied is the time in which a change has to be applied everywhere.
	cases := map[string]struct {
		size  int // size is the number of instances.
		bytes int // bytes is the size of the configuration.
	}{
		"fleet-of-16-with-hundreds":  {size: 16, bytes: 100 << 10},
		"fleet-of-16-with-thousands": {size: 16, bytes: 312 << 10},
		"fleet-of-76":                {size: 76, bytes: 13 << 10},
		"fleet-of-89":                {size: 89, bytes: 13 << 10},
		"fleet-of-76-with-routes":    {size: 76, bytes: 48 << 10},
		"fleet-of-76-with-hundreds":  {size: 76, bytes: 100 << 10},
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

// TestLoadReportsLeaveLinksFree checks that instances which started together do not fill the link of one of them by
// asking it for load reports at the same moment.
func TestLoadReportsLeaveLinksFree(t *testing.T) {
	cases := map[string]struct {
		size  int // size is the number of instances.
		bytes int // bytes is the size of the load reports of all of them.
	}{
		"fleet-of-76": {size: 76, bytes: 10 << 10},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				time.Sleep(time.Millisecond)
				config, targets := newMemoryStore(), newMemoryStore()
				config.put("main")
				targets.put("target")
				n := startFleetWith(t, sizedLoads{bytes: test.bytes}, test.size, 4, 0, config, targets)
				time.Sleep(8 * time.Second)
				most := 0
				for _, i := range n.instances {
					most = max(most, i.sentReports.most(eventDelay))
				}
				t.Logf("at most %d KB in %v", most>>10, eventDelay)
				c.Assert(most > 0, quicktest.IsTrue)
				c.Assert(most <= int(linkRate*eventDelay.Seconds()/2), quicktest.IsTrue)
			})
		})
	}
}
