package cell

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"
)

func TestSwap(t *testing.T) {
	for name, test := range map[string]struct {
		writers, each, limit, want int
	}{
		"one-writer":   {writers: 1, each: 10, limit: 100, want: 10},
		"many-writers": {writers: 16, each: 200, limit: 1 << 20, want: 3200},
		"refused":      {writers: 16, each: 200, limit: 50, want: 50},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			p := &atomic.Pointer[int]{}
			p.Store(new(int))
			var accepted atomic.Int64
			var group sync.WaitGroup
			for range test.writers {
				group.Go(func() {
					for range test.each {
						if Swap(p, func(n int) (int, bool) { return n + 1, n < test.limit }) {
							accepted.Add(1)
						}
					}
				})
			}
			group.Wait()
			c.Assert(*p.Load(), quicktest.Equals, test.want)
			c.Assert(int(accepted.Load()), quicktest.Equals, test.want)
		})
	}
}
