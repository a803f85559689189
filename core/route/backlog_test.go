package route

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/frankban/quicktest"
)

func TestLeastBacklog(t *testing.T) {
	cases := map[string]struct {
		backlogs []Backlog
		want     int
	}{
		"preferred-when-equal":        {[]Backlog{Unread{2}, Unread{2}}, 0},
		"fewer-prompts":               {[]Backlog{Unread{2}, Unread{1}}, 1},
		"unreachable":                 {[]Backlog{Unreachable{}, Unread{5}}, 1},
		"all-unreachable":             {[]Backlog{Unreachable{}, Unreachable{}}, 0},
		"idle-before-unasked":         {[]Backlog{Unasked{}, Unread{0}}, 1},
		"unasked-before-crowded":      {[]Backlog{Unread{3}, Unasked{}}, 1},
		"preferred-when-none-answers": {[]Backlog{Unasked{}, Unasked{}}, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, LeastBacklog(test.backlogs), quicktest.Equals, test.want)
		})
	}
}

// placing is a load of streams on targets that read one prompt a second each, by an instance fleet whose load reports
// are several seconds old.
type placing struct {
	targets     int
	perSecond   float64
	reportAge   float64 // reportAge is the time between two reports of all loads, in seconds.
	answerAge   float64 // answerAge is how old the answer of a target that is asked is, in seconds.
	lostAt      float64 // lostAt is when a fifth of the targets is lost and its prompts are placed again.
	seconds     float64
	askedCount  int // askedCount is the number of targets that are asked; 1 asks none.
	lostTargets int
}

// waits plays the load and returns how long each prompt waited before it was read, in seconds and sorted.
func (p placing) waits(random *rand.Rand) []float64 {
	freeAt := make([]float64, p.targets)   // freeAt is when each target has read all its prompts.
	reported := make([]float64, p.targets) // reported is the load of each target as of the last report.
	backlog := func(target int, now float64) float64 { return max(0, freeAt[target]-now) }
	var waits []float64
	lastReport := 0.0
	place := func(now float64) {
		if now-lastReport >= p.reportAge {
			lastReport = now
			for i := range reported {
				reported[i] = backlog(i, now)
			}
		}
		preferred := p.preferred(reported, random)
		if p.askedCount > 1 {
			backlogs := make([]Backlog, len(preferred))
			for i, target := range preferred {
				backlogs[i] = Unread{Prompts: int(backlog(target, now-p.answerAge) + 0.99)}
			}
			preferred[0] = preferred[LeastBacklog(backlogs)]
		}
		wait := backlog(preferred[0], now)
		waits = append(waits, wait)
		freeAt[preferred[0]] = now + wait + 1
	}
	lost := false
	for now := 0.0; now < p.seconds; now += random.ExpFloat64() / p.perSecond {
		place(now)
		if now > p.lostAt && !lost {
			lost = true
			for range p.lostTargets {
				place(now)
			}
		}
	}
	slices.Sort(waits)
	return waits
}

// preferred returns the targets that an instance would choose by reported load among a session's first ones.
func (p placing) preferred(reported []float64, random *rand.Rand) []int {
	chosen := make([]int, 0, p.askedCount)
	for range p.askedCount {
		best := random.IntN(p.targets)
		for range 3 {
			if other := random.IntN(p.targets); reported[other] < reported[best] {
				best = other
			}
		}
		chosen = append(chosen, best)
	}
	return chosen
}

// TestPlacingByOldReports plays the load of the largest deployment: 145 streams a second on 480 targets of which each
// reads a prompt in a second, loads 4.25 s old, and a fifth of the targets lost at once. Asking two targets must halve the
// longest waits; the aim to the first event is 4.5 s.
func TestPlacingByOldReports(t *testing.T) {
	cases := map[string]placing{
		"calm":             {targets: 480, perSecond: 145, reportAge: 4.25, answerAge: 0.1, lostAt: 1e9, seconds: 40},
		"a-domain-is-lost": {targets: 384, perSecond: 145, reportAge: 4.25, answerAge: 0.1, lostAt: 20, lostTargets: 170, seconds: 40},
		"busy":             {targets: 384, perSecond: 220, reportAge: 4.25, answerAge: 0.1, lostAt: 1e9, seconds: 40},
	}
	for name, load := range cases {
		t.Run(name, func(t *testing.T) {
			at := func(asked int, share float64) float64 {
				load.askedCount = asked
				waits := load.waits(rand.New(rand.NewPCG(1, 2)))
				return waits[int(share*float64(len(waits)))]
			}
			t.Logf("99 in 100 wait up to %.2f s unasked, %.2f s asked; 999 in 1,000 up to %.2f and %.2f s", at(1, 0.99), at(2, 0.99), at(1, 0.999), at(2, 0.999))
			quicktest.Assert(t, at(2, 0.99) <= at(1, 0.99)/2, quicktest.IsTrue)
			quicktest.Assert(t, at(2, 0.999) < 3.5, quicktest.IsTrue) // A second of the aim is left to read the prompt.
		})
	}
}
