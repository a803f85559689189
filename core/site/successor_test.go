package site

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestSuccessors(t *testing.T) {
	now := time.Now()
	a := Target{Name: "a", Service: "s", Address: "1", Domain: "x", Started: 7, Revision: 3}
	b := Target{Name: "b", Service: "s", Address: "2", Domain: "y", Started: 8, Revision: 4}
	successor := func(of Target, name string, age time.Duration) Successor {
		return Successor{Of: of, Name: name, Found: now.Add(-age)}
	}
	with := func(t Target, name string) Target {
		t.Name, t.Started = name, 0
		return t
	}
	again := a
	again.Started = 9
	moved := a
	moved.Address = "3"
	leaving := a
	leaving.Leaving = true
	cases := map[string]struct {
		successors []Successor
		before     []Target // before holds the targets that were listed a moment ago, or none.
		targets    []Target
		settled    bool
		want       []Target
		left       int // left counts the successors that are still needed.
	}{
		"none":                       {targets: []Target{a, b}, want: []Target{a, b}},
		"in-its-place":               {successors: []Successor{successor(a, "c", 0)}, targets: []Target{a, b}, want: []Target{with(a, "c"), b}, left: 1},
		"of-an-successor":            {successors: []Successor{successor(a, "c", time.Second), successor(with(a, "c"), "d", 0)}, targets: []Target{a, b}, want: []Target{with(a, "d"), b}, left: 1},
		"older-news-is-no-news":      {successors: []Successor{successor(a, "c", 0), successor(a, "d", time.Second)}, targets: []Target{a}, want: []Target{with(a, "c")}, left: 1},
		"listed-itself":              {successors: []Successor{successor(a, "b", 0)}, targets: []Target{a, b}, want: []Target{b}, left: 1},
		"listed-and-then-removed":    {successors: []Successor{successor(a, "c", 0)}, before: []Target{a, with(a, "c")}, targets: []Target{a, b}, want: []Target{b}, left: 1},
		"followed-one-is-gone":       {successors: []Successor{successor(a, "c", 0)}, targets: []Target{b}, want: []Target{b}},
		"followed-one-started-again": {successors: []Successor{successor(a, "c", 0)}, targets: []Target{again}, want: []Target{again}},
		"followed-one-moved":         {successors: []Successor{successor(a, "c", 0)}, targets: []Target{moved}, want: []Target{moved}},
		"followed-one-was-leaving":   {successors: []Successor{successor(a, "c", 0)}, targets: []Target{leaving}, want: []Target{with(a, "c")}, left: 1},
		"young-and-settled":          {successors: []Successor{successor(a, "c", time.Second)}, targets: []Target{a, b}, settled: true, want: []Target{with(a, "c"), b}, left: 1},
		"old-and-not-settled":        {successors: []Successor{successor(a, "c", time.Hour)}, targets: []Target{a, b}, want: []Target{with(a, "c"), b}, left: 1},
		"old-and-settled":            {successors: []Successor{successor(a, "c", 3*time.Second)}, targets: []Target{a, b}, settled: true, want: []Target{b}, left: 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var h Successors
			for _, next := range test.successors {
				h, _ = h.WithSuccessor(next)
			}
			if test.before != nil {
				_, h = h.Apply(test.before, now, test.settled)
			}
			got, left := h.Apply(test.targets, now, test.settled)
			c.Assert(got, quicktest.DeepEquals, test.want)
			c.Assert(left.Len(), quicktest.Equals, test.left)
		})
	}
}

func TestFollows(t *testing.T) {
	old := Target{Name: "a", Address: "1", Started: 7}
	cases := map[string]struct {
		old, now Target
		want     bool
	}{
		"same":                {old, old, true},
		"started-again":       {old, Target{Name: "a", Address: "1", Started: 8}, false},
		"moved":               {old, Target{Name: "a", Address: "2", Started: 7}, false},
		"start-becomes-known": {Target{Name: "a", Address: "1"}, old, true},
		"another":             {old, Target{Name: "b", Address: "1", Started: 7}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, test.now.Follows(test.old), quicktest.Equals, test.want)
		})
	}
}
