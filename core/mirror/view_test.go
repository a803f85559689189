package mirror

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestWithPage(t *testing.T) {
	live := func(name string, revision uint64) Object { return Object{Name: name, Revision: revision} }
	deleted := func(name string, revision uint64) Object {
		return Object{Name: name, Revision: revision, Deleted: true}
	}
	cases := map[string]struct {
		pages []Page
		want  map[string]uint64
	}{
		"changes-are-merged":                     {[]Page{{Revision: 1, Objects: []Object{live("a", 1)}}, {Revision: 3, Objects: []Object{live("b", 3)}}}, map[string]uint64{"a": 1, "b": 3}},
		"old-change-is-ignored":                  {[]Page{{Revision: 5, Objects: []Object{live("a", 5)}}, {Revision: 3, Objects: []Object{live("a", 3)}}}, map[string]uint64{"a": 5}},
		"deletion":                               {[]Page{{Revision: 5, Objects: []Object{live("a", 5)}}, {Revision: 6, Objects: []Object{deleted("a", 6)}}}, map[string]uint64{}},
		"deletion-at-same-revision":              {[]Page{{Revision: 5, Objects: []Object{live("a", 5)}}, {Revision: 6, Objects: []Object{deleted("a", 5)}}}, map[string]uint64{}},
		"old-page-does-not-restore":              {[]Page{{Revision: 5, Objects: []Object{live("a", 5)}}, {Revision: 6, Objects: []Object{deleted("a", 5)}}, {Revision: 5, Objects: []Object{live("a", 5)}}}, map[string]uint64{}},
		"created-again":                          {[]Page{{Revision: 6, Objects: []Object{deleted("a", 5)}}, {Revision: 8, Objects: []Object{live("a", 8)}}}, map[string]uint64{"a": 8}},
		"whole-page-deletes":                     {[]Page{{Revision: 5, Objects: []Object{live("a", 4), live("b", 5)}}, {Revision: 7, Complete: true, Objects: []Object{live("b", 5)}}}, map[string]uint64{"b": 5}},
		"old-whole-page-keeps-newer":             {[]Page{{Revision: 9, Objects: []Object{live("a", 9)}}, {Revision: 7, Complete: true}}, map[string]uint64{"a": 9}},
		"old-whole-page-does-not-lower-revision": {[]Page{{Revision: 9, Objects: []Object{live("a", 9)}}, {Revision: 7, Complete: true, Objects: []Object{live("a", 6)}}}, map[string]uint64{"a": 9}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var v View
			for _, p := range test.pages {
				before := v.Revision()
				v, _ = v.WithPage(p)
				c.Assert(v.Revision() >= before, quicktest.IsTrue)
			}
			got := make(map[string]uint64)
			for _, o := range v.Live() {
				got[o.Name] = o.Revision
			}
			c.Assert(got, quicktest.DeepEquals, test.want)
		})
	}
}
