package fleet

import (
	"fmt"
	"testing"

	"bramleywharf.example/core/cell"
	"bramleywharf.example/core/member"
)

// BenchmarkElected measures the check whether this instance acts for the whole fleet.
func BenchmarkElected(b *testing.B) {
	for name, size := range map[string]int{"7": 7, "89": 89, "410": 410} {
		b.Run(name, func(b *testing.B) {
			view := member.View{}
			for i := range size {
				view, _ = view.WithMember(member.Member{Name: fmt.Sprint("instance-", i), Incarnation: 1})
			}
			f := &Fleet{settings: Settings{Self: member.Member{Name: "instance-3"}}, view: cell.New(view)}
			b.ReportAllocs()
			for b.Loop() {
				f.Elected("feed/targets", 2)
			}
		})
	}
}
