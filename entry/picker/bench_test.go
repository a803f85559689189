package picker

import (
	"fmt"
	"testing"
	"time"

	"bramleywharf.example/core/site"
	"bramleywharf.example/core/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// crowd returns a picker of many targets, and the statements of many instances with a dozen streams each.
func crowd(b *testing.B, instances, targets int) (*Picker, []wire.Load) {
	source := fixed{changed: make(chan struct{})}
	for i := range targets {
		source.targets = append(source.targets, site.Target{Name: fmt.Sprint("i-00000", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i), Domain: "x", Revision: uint64(i + 1)})
	}
	p := New(source, func(string) {}, &log.Logger{Handler: discard.New()}, metrics.NewSet())
	b.Cleanup(p.Close)
	p.Name("self", 1)
	for p.table.Load().roster.Len() < targets {
		time.Sleep(time.Millisecond)
	}
	loads := make([]wire.Load, instances)
	for i := range loads {
		loads[i] = wire.Load{Instance: fmt.Sprint("instance-", i), Sequence: 1}
		for n := range 12 {
			target := fmt.Sprint("i-00000", (i*31+n*7)%targets)
			loads[i].Targets = append(loads[i].Targets, wire.TargetLoad{Target: target, Flying: 1, Tokens: 8000, Copies: 1})
			loads[i].Runs = append(loads[i].Runs, wire.RunPlace{Session: fmt.Sprint("session-", i, "-", n), Target: target})
		}
	}
	return p, loads
}

// BenchmarkMerge measures what one peer's own statement costs where many are known.
func BenchmarkMerge(b *testing.B) {
	for name, size := range map[string][2]int{"today": {7, 27}, "grown": {89, 183}, "large": {300, 3000}} {
		b.Run(name, func(b *testing.B) {
			p, loads := crowd(b, size[0], size[1])
			p.Merge(loads)
			b.ReportAllocs()
			for n := uint64(2); b.Loop(); n++ {
				own := loads[0]
				own.Sequence = n
				p.Merge([]wire.Load{own})
			}
		})
	}
}

// BenchmarkStatements measures how large all statements are and what their encoding costs.
func BenchmarkStatements(b *testing.B) {
	for name, size := range map[string][2]int{"grown": {89, 183}, "large": {300, 3000}} {
		b.Run(name, func(b *testing.B) {
			p, loads := crowd(b, size[0], size[1])
			p.Merge(loads)
			var raw []byte
			for b.Loop() {
				raw, _ = wire.Encode(wire.Pages{Loads: p.Newer(nil)})
				if _, err := wire.Decode(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "bytes")
		})
	}
}

// BenchmarkStream measures the choice of a stream's target and of the one that keeps its copy.
func BenchmarkStream(b *testing.B) {
	for name, size := range map[string][2]int{"today": {7, 27}, "grown": {89, 183}, "large": {300, 3000}} {
		b.Run(name, func(b *testing.B) {
			p, loads := crowd(b, size[0], size[1])
			p.Merge(loads)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				want := Want{Service: "s", Session: fmt.Sprint("session", n), Prompt: 8000, Memory: 88000}
				pick, ok := p.Stream(want)
				if !ok {
					b.Fatal("no target")
				}
				p.Backup(want, "y")
				pick.Release()
			}
		})
	}
}
