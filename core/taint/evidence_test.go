package taint

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// crashStep is one crash of a target in a test, with the requests whose answers were at their begin.
type crashStep struct {
	at       time.Duration
	target   uint64
	domain   uint64
	requests map[uint64]string // requests maps requests to their parts, separated by commas; without any it was past all begins.
	answered string            // answered holds the parts of a request that is answered in place of a crash.
}

// bookOf returns a book after some crashes, without losses that are settled at a time.
func bookOf(steps []crashStep, now time.Duration) Book {
	var b Book
	for _, s := range steps {
		if s.answered != "" {
			b = b.WithAnswer(strings.Split(s.answered, ","))
			continue
		}
		at := start.Add(s.at)
		b = b.WithBook(NewBook(nil, []Crash{{ID: LossID{Target: s.target}, Domain: s.domain, At: at}}))
		for request, parts := range s.requests {
			id := LossID{Target: s.target, Request: request}
			b = b.WithBook(NewBook(nil, []Crash{{ID: id, Domain: s.domain, At: at}}))
			b = b.WithLoss(strings.Split(parts, ","), Loss{ID: id, Domain: s.domain, At: at})
		}
	}
	return b.Without(start.Add(now))
}

// TestBursts guards against parts that go on crashing targets since their requests come at the same moments, and against
// blocking parts of sound requests for outages of failure domains.
func TestBursts(t *testing.T) {
	const deadly, sound = "shared,deadly", "shared,sound"
	// burstIn returns the crashes of the targets of some requests, which are lost again after a time, at targets with domains.
	burstIn := func(pause time.Duration, requests int, domains ...uint64) []crashStep {
		var steps []crashStep
		for moment := range 2 {
			for i := range requests {
				n := moment*(requests+1) + i // The next target of a request is in another domain, if there are two or more.
				steps = append(steps, crashStep{at: time.Duration(moment) * pause, target: uint64(100 + n), domain: domains[n%len(domains)], requests: map[uint64]string{uint64(i + 1): deadly}})
			}
		}
		return steps
	}
	burst := func(requests int, domains ...uint64) []crashStep { return burstIn(time.Second, requests, domains...) }
	// outage returns the crashes of a domain's targets, some of which ran sound requests at their begin.
	outage := func(at time.Duration, domain uint64, targets int, atBegin ...uint64) []crashStep {
		var steps []crashStep
		for i := range targets {
			s := crashStep{at: at + time.Duration(i)*10*time.Millisecond, target: 1000*domain + uint64(i), domain: domain}
			if i < len(atBegin) {
				s.requests = map[uint64]string{atBegin[i]: sound}
			}
			steps = append(steps, s)
		}
		return steps
	}
	join := func(lists ...[]crashStep) (all []crashStep) {
		for _, list := range lists {
			all = append(all, list...)
		}
		return all
	}
	answers := []crashStep{{answered: "shared"}}
	cases := map[string]struct {
		steps []crashStep
		now   time.Duration
		want  []string // want holds the prompts that are blocked.
	}{
		"three-requests":                     {join(burst(3, 1, 2, 3), answers), 2 * time.Second, []string{deadly}},
		"three-requests-after-a-time":        {join(burst(3, 1, 2, 3), answers), 25 * time.Second, []string{deadly}},
		"three-requests-after-minutes":       {join(burst(3, 1, 2, 3), answers), 4 * time.Minute, []string{deadly}},
		"three-requests-after-their-time":    {join(burst(3, 1, 2, 3), answers), 6 * time.Minute, nil},
		"three-requests-in-one-domain":       {join(burst(3, 1), answers), 2 * time.Second, []string{deadly}},
		"three-requests-in-one-domain-later": {join(burst(3, 1), answers), 25 * time.Second, []string{deadly}},
		"many-requests":                      {join(burst(12, 1, 2, 3), answers), 2 * time.Second, []string{deadly}},
		"many-requests-after-a-time":         {join(burst(12, 1, 2, 3), answers), time.Minute, []string{deadly}},
		"domain-unknown":                     {join(burst(3, 0), answers), 2 * time.Second, []string{deadly}},
		"prompts-that-are-read-fast":         {join(burstIn(50*time.Millisecond, 3, 1, 2, 3), answers), 2 * time.Second, []string{deadly}},
		"fast-in-one-domain":                 {join(burstIn(50*time.Millisecond, 3, 1), answers), 2 * time.Second, nil},
		"two-requests":                       {join(burst(2, 1, 2, 3), answers), 2 * time.Second, nil},
		"once-each":                          {join(burst(6, 1, 2, 3, 4, 5, 6)[:6], answers), 2 * time.Second, nil},
		"outage-in-a-burst":                  {join(burst(3, 1, 2, 3), outage(0, 1, 6, 20, 21), answers), 2 * time.Second, []string{deadly}},
		"outage-beside-a-burst":              {join(outage(-time.Second, 1, 6, 20, 21), burst(3, 1, 2, 3), answers), 2 * time.Second, []string{deadly}},
		"outage":                             {outage(0, 1, 8, 20, 21, 22), 2 * time.Second, nil},
		"outages":                            {join(outage(0, 1, 8, 20, 21, 22), outage(2*time.Second, 2, 8, 23, 24), outage(4*time.Second, 3, 8, 25, 26, 27)), 5 * time.Second, nil},
		"outages-after-a-time":               {join(outage(0, 1, 8, 20, 21, 22), outage(2*time.Second, 2, 8, 23, 24), outage(4*time.Second, 3, 8, 25, 26, 27)), 20 * time.Second, nil},
		"requests-lost-in-two-outages":       {join(outage(0, 1, 8, 20, 21, 22), outage(time.Second, 2, 8, 20, 21, 22)), 2 * time.Second, nil},
		"small-outages":                      {join(outage(0, 1, 4, 20, 21), outage(2*time.Second, 2, 4, 22, 23), outage(4*time.Second, 3, 4, 24, 25)), 5 * time.Second, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			b := bookOf(test.steps, test.now)
			var blocked []string
			for _, prompt := range []string{deadly, sound} {
				if _, ok := b.Blocked(strings.Split(prompt, ","), start.Add(test.now)); ok {
					blocked = append(blocked, prompt)
				}
			}
			c.Assert(blocked, quicktest.DeepEquals, test.want)
		})
	}
}
