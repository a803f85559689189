package inst

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"bramleywharf.example/core/wait"
)

// sweepInterval is the time between two checks for idle connections.
const sweepInterval = time.Second

// idleConns closes callers' connections that are idle for longer than the configured limit.
type idleConns struct {
	*wait.Loop
	limit     func() time.Duration // limit returns the current limit; 0 means none.
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// newIdleConns starts to close idle connections; trackState has to be the ConnState hook of their server.
func newIdleConns(limit func() time.Duration) *idleConns {
	i := &idleConns{limit: limit, idleSince: make(map[net.Conn]time.Time)}
	i.Loop = wait.Start(func(ctx context.Context) {
		for wait.Sleep(ctx, sweepInterval) {
			i.sweep(time.Now())
		}
	})
	return i
}

// trackState records since when a connection is idle.
func (i *idleConns) trackState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// sweep closes the connections that are idle for longer than the limit.
func (i *idleConns) sweep(now time.Time) {
	limit := i.limit()
	if limit <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, idleSince := range i.idleSince {
		if now.Sub(idleSince) > limit {
			_ = c.Close()
			delete(i.idleSince, c)
		}
	}
}
