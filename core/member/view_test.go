package member

import (
	"fmt"
	"slices"
	"testing"

	"bramleywharf.example/core/route"
	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawMember draws an update about one of a few members.
func drawMember(t *rapid.T) Member {
	return Member{
		Name:        fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "name")),
		Incarnation: uint64(rapid.IntRange(0, 3).Draw(t, "incarnation")),
		State:       State(rapid.IntRange(0, 2).Draw(t, "state")),
		Leaving:     rapid.Bool().Draw(t, "leaving"),
	}
}

// TestViewConverges checks that the order of updates does not matter, so that all instances reach the same view.
func TestViewConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawMember), 1, 12).Draw(t, "updates")
		shuffled := rapid.Permutation(updates).Draw(t, "shuffled")
		var a, b View
		for _, m := range updates {
			a, _ = a.WithMember(m)
		}
		for _, m := range shuffled {
			b, _ = b.WithMember(m)
		}
		for _, m := range a.All() {
			if other, _ := b.Get(m.Name); other != m {
				t.Fatalf("%+v and %+v", m, other)
			}
		}
	})
}

// TestIsAmongFirst compares the check with the complete rendezvous ranking of the alive members.
func TestIsAmongFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v View
		for _, m := range rapid.SliceOfN(rapid.Custom(drawMember), 1, 12).Draw(t, "updates") {
			v, _ = v.WithMember(m)
		}
		var alive []string
		for _, m := range v.All() {
			if m.State == Alive && m.Incarnation > 0 {
				alive = append(alive, m.Name)
			}
		}
		key := rapid.String().Draw(t, "key")
		count := rapid.IntRange(0, 4).Draw(t, "count")
		ranked := route.Rank(key, alive)
		first := ranked[:min(count, len(ranked))]
		for _, m := range v.All() {
			if got := v.IsAmongFirst(key, m.Name, count); got != slices.Contains(first, m.Name) {
				t.Fatalf("%s among the first %d of %v: %t", m.Name, count, ranked, got)
			}
		}
	})
}

func TestWithMember(t *testing.T) {
	known := Member{Name: "n", Incarnation: 5, State: Suspect}
	cases := map[string]struct {
		update  Member
		changed bool
		state   State
	}{
		"older-incarnation": {update: Member{Name: "n", Incarnation: 4, State: Dead}, state: Suspect},
		"unchanged":         {update: known, state: Suspect},
		"higher-state":      {update: Member{Name: "n", Incarnation: 5, State: Dead}, changed: true, state: Dead},
		"lower-state":       {update: Member{Name: "n", Incarnation: 5, State: Alive}, state: Suspect},
		"newer-incarnation": {update: Member{Name: "n", Incarnation: 6, State: Alive}, changed: true, state: Alive},
		"leaving":           {update: Member{Name: "n", Incarnation: 5, Leaving: true}, changed: true, state: Suspect},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			v, _ := View{}.WithMember(known)
			v, changed := v.WithMember(test.update)
			c.Assert(changed, quicktest.Equals, test.changed)
			m, _ := v.Get("n")
			c.Assert(m.State, quicktest.Equals, test.state)
		})
	}
}

func TestExpectedCount(t *testing.T) {
	cases := map[string]struct {
		members []Member
		want    int
	}{
		"none":               {},
		"alive":              {members: []Member{{Name: "a"}, {Name: "b"}}, want: 2},
		"dead":               {members: []Member{{Name: "a"}, {Name: "b", State: Dead}}, want: 2},
		"leaving":            {members: []Member{{Name: "a"}, {Name: "b", Leaving: true}}, want: 2},
		"dead-after-leaving": {members: []Member{{Name: "a"}, {Name: "b", Leaving: true, State: Dead}}, want: 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var v View
			for _, m := range test.members {
				v, _ = v.WithMember(m)
			}
			quicktest.New(t).Assert(v.ExpectedCount(), quicktest.Equals, test.want)
		})
	}
}

// TestMostStay guards against callers that are sent away by a leaving instance while most others are lost or leave too.
func TestMostStay(t *testing.T) {
	m := func(name string, s State, leaving bool) Member {
		return Member{Name: name, Incarnation: 1, State: s, Leaving: leaving}
	}
	cases := map[string]struct {
		others []Member // others are the members beside one that is leaving.
		want   bool
	}{
		"alone":          {nil, false},
		"all-stay":       {[]Member{m("b", Alive, false), m("c", Alive, false), m("d", Alive, false)}, true},
		"half-stay":      {[]Member{m("b", Alive, false), m("c", Alive, false), m("d", Alive, true)}, true},
		"most-leave":     {[]Member{m("b", Alive, false), m("c", Alive, true), m("d", Alive, true)}, false},
		"most-are-lost":  {[]Member{m("b", Alive, false), m("c", Dead, false), m("d", Dead, false)}, false},
		"most-in-doubt":  {[]Member{m("b", Alive, false), m("c", Suspect, false), m("d", Suspect, false)}, false},
		"one-other-lost": {[]Member{m("b", Dead, false)}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var v View
			for _, member := range append(test.others, m("a", Alive, true)) {
				v, _ = v.WithMember(member)
			}
			quicktest.Assert(t, v.MostStay(), quicktest.Equals, test.want)
		})
	}
}

func TestCallerAddresses(t *testing.T) {
	m := func(name string, s State, leaving bool) Member {
		return Member{Name: name, CallerAddress: name, Incarnation: 1, State: s, Leaving: leaving}
	}
	cases := map[string]struct {
		members []Member
		ready   bool
		want    []string
	}{
		"all":                 {[]Member{m("a", Alive, false), m("b", Alive, false), m("c", Alive, false)}, true, []string{"a", "b", "c"}},
		"one-is-leaving":      {[]Member{m("a", Alive, false), m("b", Alive, true), m("c", Alive, false)}, true, []string{"a", "c"}},
		"one-is-suspect":      {[]Member{m("a", Alive, false), m("b", Suspect, false), m("c", Alive, false)}, true, []string{"a", "c"}},
		"most-are-not-alive":  {[]Member{m("a", Alive, false), m("b", Dead, false), m("c", Suspect, false)}, true, []string{"a", "b", "c"}},
		"self-not-ready":      {[]Member{m("a", Alive, false), m("b", Alive, false), m("c", Alive, false)}, false, []string{"b", "c"}},
		"self-is-leaving":     {[]Member{m("a", Alive, true), m("b", Alive, false), m("c", Alive, false)}, true, []string{"b", "c"}},
		"listed-only":         {[]Member{m("a", Alive, false), {Name: "b", CallerAddress: "b"}}, true, []string{"a"}},
		"alone":               {[]Member{m("a", Alive, false)}, true, []string{"a"}},
		"alone-and-not-ready": {[]Member{m("a", Alive, false)}, false, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var v View
			for _, member := range test.members {
				v, _ = v.WithMember(member)
			}
			quicktest.Assert(t, v.CallerAddresses("a", test.ready), quicktest.DeepEquals, test.want)
		})
	}
}
