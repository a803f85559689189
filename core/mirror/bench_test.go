package mirror

import (
	"fmt"
	"testing"
)

// newView returns a view of a number of objects, each at a revision of its own.
func newView(size int) View {
	p := Page{Revision: uint64(size), Complete: true}
	for i := range size {
		p.Objects = append(p.Objects, Object{Name: fmt.Sprintf("i-%06d", i), Revision: uint64(i + 1)})
	}
	v, _ := View{}.WithPage(p)
	return v
}

// BenchmarkWithPage measures the merge of a page with one changed object into a view of many.
func BenchmarkWithPage(b *testing.B) {
	for name, size := range map[string]int{"30": 30, "486": 486, "3000": 3000} {
		b.Run(name, func(b *testing.B) {
			v := newView(size)
			b.ReportAllocs()
			for revision := uint64(size) + 1; b.Loop(); revision++ {
				object := Object{Name: fmt.Sprintf("i-%06d", revision%uint64(size)), Revision: revision}
				v, _ = v.WithPage(Page{Revision: revision, Objects: []Object{object}})
			}
		})
	}
}

// BenchmarkChangesSince measures the page for a peer that lacks the newest change.
func BenchmarkChangesSince(b *testing.B) {
	for name, size := range map[string]int{"30": 30, "486": 486, "3000": 3000} {
		b.Run(name, func(b *testing.B) {
			v := newView(size)
			b.ReportAllocs()
			for b.Loop() {
				if changes := v.ChangesSince(uint64(size) - 1); len(changes.Objects) != 1 {
					b.Fatal("not the newest change")
				}
			}
		})
	}
}
