package mirror

import (
	"maps"
	"slices"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
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
		"changes-are-merged":                      {[]Page{{Revision: 1, Objects: []Object{live("a", 1)}}, {Revision: 3, Objects: []Object{live("b", 3)}}}, map[string]uint64{"a": 1, "b": 3}},
		"old-change-is-ignored":                   {[]Page{{Revision: 5, Objects: []Object{live("a", 5)}}, {Revision: 3, Objects: []Object{live("a", 3)}}}, map[string]uint64{"a": 5}},
		"deletion":                                {[]Page{{Revision: 5, Objects: []Object{live("a", 5)}}, {Revision: 6, Objects: []Object{deleted("a", 6)}}}, map[string]uint64{}},
		"deletion-at-same-revision":               {[]Page{{Revision: 5, Objects: []Object{live("a", 5)}}, {Revision: 6, Objects: []Object{deleted("a", 5)}}}, map[string]uint64{}},
		"old-page-does-not-restore":               {[]Page{{Revision: 5, Objects: []Object{live("a", 5)}}, {Revision: 6, Objects: []Object{deleted("a", 5)}}, {Revision: 5, Objects: []Object{live("a", 5)}}}, map[string]uint64{}},
		"old-list-does-not-restore":               {[]Page{{Revision: 9, Complete: true}, {Revision: 7, Complete: true, Objects: []Object{live("a", 5)}}}, map[string]uint64{}},
		"old-changes-do-not-restore":              {[]Page{{Revision: 9, Complete: true}, {Revision: 7, Objects: []Object{live("a", 5)}}}, map[string]uint64{}},
		"old-list-does-not-restore-twice-deleted": {[]Page{{Revision: 2, Objects: []Object{deleted("a", 2)}}, {Revision: 9, Complete: true}, {Revision: 7, Complete: true, Objects: []Object{live("a", 5)}}}, map[string]uint64{}},
		"old-list-with-newer-object":              {[]Page{{Revision: 9, Complete: true}, {Revision: 7, Complete: true, Objects: []Object{live("a", 11)}}}, map[string]uint64{"a": 11}},
		"created-again":                           {[]Page{{Revision: 6, Objects: []Object{deleted("a", 5)}}, {Revision: 8, Objects: []Object{live("a", 8)}}}, map[string]uint64{"a": 8}},
		"whole-page-deletes":                      {[]Page{{Revision: 5, Objects: []Object{live("a", 4), live("b", 5)}}, {Revision: 7, Complete: true, Objects: []Object{live("b", 5)}}}, map[string]uint64{"b": 5}},
		"old-whole-page-keeps-newer":              {[]Page{{Revision: 9, Objects: []Object{live("a", 9)}}, {Revision: 7, Complete: true}}, map[string]uint64{"a": 9}},
		"old-whole-page-does-not-lower-revision":  {[]Page{{Revision: 9, Objects: []Object{live("a", 9)}}, {Revision: 7, Complete: true, Objects: []Object{live("a", 6)}}}, map[string]uint64{"a": 9}},
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
			for o := range v.Live() {
				got[o.Name] = o.Revision
			}
			c.Assert(got, quicktest.DeepEquals, test.want)
		})
	}
}

// TestViewMatchesModel merges random pages into a view and into a plain map.
func TestViewMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v View
		model := make(map[string]Object)
		for range rapid.IntRange(1, 12).Draw(t, "pages") {
			p := Page{Revision: rapid.Uint64Range(1, 30).Draw(t, "revision"), Complete: rapid.Bool().Draw(t, "complete")}
			for range rapid.IntRange(0, 6).Draw(t, "objects") {
				p.Objects = append(p.Objects, Object{
					Name:     rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name"),
					Revision: rapid.Uint64Range(1, p.Revision).Draw(t, "object-revision"),
					Deleted:  rapid.Bool().Draw(t, "deleted"),
				})
			}
			before, revision := v.objects, v.revision
			unchanged := slices.Clone(before)
			v, _ = v.WithPage(p)
			mergeIntoModel(model, revision, p)
			if !slices.EqualFunc(before, unchanged, equalObjects) {
				t.Fatal("the previous view was modified")
			}
		}
		names := slices.Sorted(maps.Keys(model))
		if len(names) != len(v.objects) {
			t.Fatalf("%d objects, want %d", len(v.objects), len(names))
		}
		for i, name := range names {
			if !equalObjects(v.objects[i], model[name]) {
				t.Fatalf("object %d is %+v, want %+v", i, v.objects[i], model[name])
			}
			if _, live := v.Get(name); live == model[name].Deleted {
				t.Fatalf("%s is live: %t", name, live)
			}
		}
	})
}

// equalObjects reports whether two objects without a value are the same version.
func equalObjects(a, b Object) bool {
	return a.Name == b.Name && a.Revision == b.Revision && a.Deleted == b.Deleted
}

// mergeIntoModel merges a page into a map of the newest version of each object, which is at a revision.
func mergeIntoModel(model map[string]Object, revision uint64, p Page) {
	listed, before := make(map[string]bool), maps.Clone(model)
	for _, o := range p.Objects {
		listed[o.Name] = true
		if known, ok := before[o.Name]; (!ok || known.Deleted) && !o.Deleted && p.Revision < revision && o.Revision <= revision {
			continue // It was deleted since.
		}
		known, ok := model[o.Name]
		if !ok || o.Revision > known.Revision || o.Revision == known.Revision && o.Deleted {
			model[o.Name] = o
		}
	}
	if !p.Complete {
		return
	}
	for name, known := range model {
		if !listed[name] && !known.Deleted && known.Revision <= p.Revision {
			model[name] = Object{Name: name, Revision: p.Revision, Deleted: true}
		}
	}
}
