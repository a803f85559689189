package inst

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"bramleywharf.example/core/wait"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// sweepInterval is the time between two checks for idle connections.
const sweepInterval = time.Second

// idleConns closes callers' connections that are idle for longer than the configured limit.
type idleConns struct {
	*wait.Loop
	limit       func() time.Duration // limit returns the current limit; 0 means none.
	log         log.Interface
	closedConns *metrics.Counter
	cutRequests *metrics.Counter
	closed      sync.Map // closed holds the connections that sweep has closed and the server has not released yet.
	mu          sync.Mutex
	idleSince   map[net.Conn]time.Time
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// newIdleConns starts to close idle connections; trackState has to be the ConnState hook of their server.
func newIdleConns(limit func() time.Duration, logger log.Interface, set *metrics.Set) *idleConns {
	i := &idleConns{
		limit:       limit,
		log:         logger,
		closedConns: set.GetOrCreateCounter(`bramleywharf_caller_connections_closed_total{cause="limit"}`),
		cutRequests: set.GetOrCreateCounter("bramleywharf_requests_cut_total"),
		idleSince:   make(map[net.Conn]time.Time),
	}
	i.Loop = wait.Start(func(ctx context.Context) {
		for wait.Sleep(ctx, sweepInterval) {
			i.sweep(time.Now())
		}
	})
	return i
}

// trackState records since when a connection is idle.
func (i *idleConns) trackState(c net.Conn, s http.ConnState) {
	if s == http.StateClosed {
		i.closed.Delete(c)
	}
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
			i.closed.Store(c, true)
			i.closedConns.Inc()
			_ = c.Close()
			delete(i.idleSince, c)
		}
	}
}

// withConn adds the connection of a request to its context.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// countCut counts and logs the requests whose connection sweep has closed before they were answered. Without the line
// they look like requests whose caller has disconnected.
func (i *idleConns) countCut(idHeader string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if _, closed := i.closed.Load(r.Context().Value(connKey{})); closed {
				i.cutRequests.Inc()
				i.log.WithFields(log.Fields{"request": r.Header.Get(idHeader), "cause": "connection closed as idle"}).Warn("request was cut by this instance")
			}
		}()
		next.ServeHTTP(w, r)
	})
}
