package inst

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"bramleywharf.example/core/wait"
)

// sweepPeriod is the time between two looks at idle connections.
const sweepPeriod = time.Second

// idles closes callers' connections that stay idle beyond the limit in force.
type idles struct {
	*wait.Loop
	limit func() time.Duration
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// newIdles returns a sweeper that looks at idle connections.
func newIdles(limit func() time.Duration) *idles {
	i := &idles{limit: limit, since: make(map[net.Conn]time.Time)}
	i.Loop = wait.Start(func(ctx context.Context) {
		for wait.For(ctx, sweepPeriod) {
			i.sweep(time.Now())
		}
	})
	return i
}

// note follows the state of a connection.
func (i *idles) note(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// sweep closes what has been idle for too long.
func (i *idles) sweep(now time.Time) {
	limit := i.limit()
	if limit <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
