package site

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestSuccessors(t *testing.T) {
	now := time.Now()
	a := Target{Name: "a", Service: "s", Address: "1", Domain: "x", StartID: 7, Revision: 3}
	b := Target{Name: "b", Service: "s", Address: "2", Domain: "y", StartID: 8, Revision: 4}
	successor := func(of Target, name string, age time.Duration) Successor {
		return Successor{Predecessor: of, Name: name, FoundAt: now.Add(-age)}
	}
	replacedBy := func(t Target, name string) Target {
		t.Name, t.StartID = name, 0
		return t
	}
	restarted := a
	restarted.StartID = 9
	moved := a
	moved.Address = "3"
	leaving := a
	leaving.Leaving = true
	cases := map[string]struct {
		successors    []Successor
		before        []Target // The targets of an earlier list, if there was one.
		targets       []Target
		authoritative bool
		want          []Target
		remaining     int // The number of successors still needed.
	}{
		"none":                      {targets: []Target{a, b}, want: []Target{a, b}},
		"replaced-in-place":         {successors: []Successor{successor(a, "c", 0)}, targets: []Target{a, b}, want: []Target{replacedBy(a, "c"), b}, remaining: 1},
		"of-a-successor":            {successors: []Successor{successor(a, "c", time.Second), successor(replacedBy(a, "c"), "d", 0)}, targets: []Target{a, b}, want: []Target{replacedBy(a, "d"), b}, remaining: 1},
		"older-one-is-ignored":      {successors: []Successor{successor(a, "c", 0), successor(a, "d", time.Second)}, targets: []Target{a}, want: []Target{replacedBy(a, "c")}, remaining: 1},
		"listed-itself":             {successors: []Successor{successor(a, "b", 0)}, targets: []Target{a, b}, want: []Target{b}, remaining: 1},
		"listed-and-then-removed":   {successors: []Successor{successor(a, "c", 0)}, before: []Target{a, replacedBy(a, "c")}, targets: []Target{a, b}, want: []Target{b}, remaining: 1},
		"predecessor-removed":       {successors: []Successor{successor(a, "c", 0)}, targets: []Target{b}, want: []Target{b}},
		"predecessor-restarted":     {successors: []Successor{successor(a, "c", 0)}, targets: []Target{restarted}, want: []Target{restarted}},
		"predecessor-moved":         {successors: []Successor{successor(a, "c", 0)}, targets: []Target{moved}, want: []Target{moved}},
		"predecessor-was-leaving":   {successors: []Successor{successor(a, "c", 0)}, targets: []Target{leaving}, want: []Target{replacedBy(a, "c")}, remaining: 1},
		"new-and-authoritative":     {successors: []Successor{successor(a, "c", time.Second)}, targets: []Target{a, b}, authoritative: true, want: []Target{replacedBy(a, "c"), b}, remaining: 1},
		"old-and-not-authoritative": {successors: []Successor{successor(a, "c", time.Hour)}, targets: []Target{a, b}, want: []Target{replacedBy(a, "c"), b}, remaining: 1},
		"old-and-authoritative":     {successors: []Successor{successor(a, "c", 3*time.Second)}, targets: []Target{a, b}, authoritative: true, want: []Target{b}, remaining: 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var set Successors
			for _, next := range test.successors {
				set, _ = set.WithSuccessor(next)
			}
			if test.before != nil {
				_, set = set.Apply(test.before, now, test.authoritative)
			}
			got, remaining := set.Apply(test.targets, now, test.authoritative)
			c.Assert(got, quicktest.DeepEquals, test.want)
			c.Assert(remaining.Len(), quicktest.Equals, test.remaining)
		})
	}
}

func TestIsSameStart(t *testing.T) {
	old := Target{Name: "a", Address: "1", StartID: 7}
	cases := map[string]struct {
		old, now Target
		want     bool
	}{
		"same":                {old, old, true},
		"restarted":           {old, Target{Name: "a", Address: "1", StartID: 8}, false},
		"moved":               {old, Target{Name: "a", Address: "2", StartID: 7}, false},
		"start-becomes-known": {Target{Name: "a", Address: "1"}, old, true},
		"another":             {old, Target{Name: "b", Address: "1", StartID: 7}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, test.now.IsSameStart(test.old), quicktest.Equals, test.want)
		})
	}
}
