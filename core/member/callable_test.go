package member

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestCallable(t *testing.T) {
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
			quicktest.Assert(t, v.Callable("a", test.ready), quicktest.DeepEquals, test.want)
		})
	}
}
