package member

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawMember draws news of one of a few members.
func drawMember(t *rapid.T) Member {
	return Member{
		Name:        fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "name")),
		Incarnation: uint64(rapid.IntRange(0, 3).Draw(t, "incarnation")),
		State:       State(rapid.IntRange(0, 2).Draw(t, "state")),
		Leaving:     rapid.Bool().Draw(t, "leaving"),
	}
}

// TestViewConverges checks that the order in which news arrives does not matter, so that all instances end with the same view.
func TestViewConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		news := rapid.SliceOfN(rapid.Custom(drawMember), 1, 12).Draw(t, "news")
		shuffled := rapid.Permutation(news).Draw(t, "shuffled")
		var a, b View
		for _, m := range news {
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

func TestWithMember(t *testing.T) {
	known := Member{Name: "n", Incarnation: 5, State: Suspect}
	cases := map[string]struct {
		told    Member
		changed bool
		state   State
	}{
		"older-life":        {told: Member{Name: "n", Incarnation: 4, State: Dead}, state: Suspect},
		"same-again":        {told: known, state: Suspect},
		"worse":             {told: Member{Name: "n", Incarnation: 5, State: Dead}, changed: true, state: Dead},
		"better-is-no-news": {told: Member{Name: "n", Incarnation: 5, State: Alive}, state: Suspect},
		"refuted":           {told: Member{Name: "n", Incarnation: 6, State: Alive}, changed: true, state: Alive},
		"leaving":           {told: Member{Name: "n", Incarnation: 5, Leaving: true}, changed: true, state: Suspect},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			v, _ := View{}.WithMember(known)
			v, changed := v.WithMember(test.told)
			c.Assert(changed, quicktest.Equals, test.changed)
			m, _ := v.Get("n")
			c.Assert(m.State, quicktest.Equals, test.state)
		})
	}
}

func TestExpected(t *testing.T) {
	cases := map[string]struct {
		members []Member
		want    int
	}{
		"none":               {},
		"alive":              {members: []Member{{Name: "a"}, {Name: "b"}}, want: 2},
		"lost":               {members: []Member{{Name: "a"}, {Name: "b", State: Dead}}, want: 2},
		"leaving":            {members: []Member{{Name: "a"}, {Name: "b", Leaving: true}}, want: 2},
		"ended-after-notice": {members: []Member{{Name: "a"}, {Name: "b", Leaving: true, State: Dead}}, want: 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var v View
			for _, m := range test.members {
				v, _ = v.WithMember(m)
			}
			quicktest.New(t).Assert(v.Expected(), quicktest.Equals, test.want)
		})
	}
}
