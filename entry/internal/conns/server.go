package conns

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramleywharf.example/core/wait"
	"bramleywharf.example/entry/link"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	sweepInterval = time.Second           // sweepInterval is the time between two checks for idle connections.
	drainInterval = 50 * time.Millisecond // drainInterval is that time while the server drains.
	// settleTime is how long a draining server waits for the first byte on a connection that has just been opened, or for
	// the next byte of a request of which almost nothing has arrived.
	settleTime = 200 * time.Millisecond
)

// Settings configures a server.
type Settings struct {
	IdleLimit func() time.Duration // IdleLimit returns how long a connection may be idle; 0 means without limit.
	Head      func() HeadLimits    // Head returns the limits of heads; without it, those of the HTTP server are used.
	IDHeader  string               // IDHeader names the header of a request's id, for the log, or is empty.
}

// Server is an HTTP server that closes no connection on which a request has arrived or is arriving.
type Server struct {
	settings  Settings
	log       log.Interface
	http      *http.Server
	sweeper   *wait.Loop
	leaving   atomic.Bool // leaving tells that a connection closes after the answer in progress.
	open      sync.Map    // open holds the open connections as *conn.
	openCount atomic.Int64
	listener  atomic.Pointer[listener]
	stopped   atomic.Bool             // stopped tells that no more connections are accepted.
	endCalls  context.CancelCauseFunc // endCalls ends the contexts of all requests.
	overLimit *metrics.Counter
	onLeaving *metrics.Counter
	crossed   *metrics.Counter
	cut       *metrics.Counter
	ends      link.EndCounts
}

// New returns a server that serves with the handler, timeouts and bounds of an HTTP server, whose hooks it sets.
func New(s Settings, httpServer *http.Server, logger log.Interface, set *metrics.Set) *Server {
	server := &Server{
		settings:  s,
		log:       logger,
		http:      httpServer,
		overLimit: set.GetOrCreateCounter(`bramleywharf_caller_connections_closed_total{cause="limit"}`),
		onLeaving: set.GetOrCreateCounter(`bramleywharf_caller_connections_closed_total{cause="leaving"}`),
		crossed:   set.GetOrCreateCounter("bramleywharf_caller_connections_crossed_total"),
		cut:       set.GetOrCreateCounter("bramleywharf_requests_cut_total"),
		ends:      link.NewEndCounts(set, "bramleywharf_caller_connections_ended_total"),
	}
	if s.Head == nil {
		limits := HeadLimits{Timeout: httpServer.ReadHeaderTimeout, Bytes: httpServer.MaxHeaderBytes}
		server.settings.Head = func() HeadLimits { return limits }
	}
	httpServer.ReadHeaderTimeout = headMarker
	httpServer.Handler = server.guard(httpServer.Handler)
	ctx, endCalls := context.WithCancelCause(context.Background())
	server.endCalls = endCalls
	httpServer.BaseContext = func(net.Listener) context.Context { return ctx }
	httpServer.ConnContext = withConn
	httpServer.ConnState = server.trackState
	server.sweeper = wait.Start(func(ctx context.Context) {
		for wait.Sleep(ctx, sweepInterval) {
			server.sweep(overLimit{limit: s.IdleLimit(), head: server.settings.Head().Timeout}, time.Now())
		}
	})
	return server
}

// Serve accepts connections until the server drains or is closed, and then returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	tracked := &listener{Listener: l, server: s, done: make(chan struct{})}
	s.listener.Store(tracked)
	defer close(tracked.done)
	// The server may have stopped before it could stop this listener.
	if s.stopped.Load() {
		tracked.stop()
	}
	err := s.http.Serve(tracked)
	if s.stopped.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Leave closes the idle connections, and from now on each connection after the answer in progress, which announces it
// unless its head has been sent. New connections are still accepted, for one request each.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.sweep(leaving{}, time.Now())
}

// Drain accepts no more connections, answers the requests that have arrived and closes the connections that carry none.
// It returns when no connection is left, or an error when the context ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	if l := s.stopAccepting(); l != nil {
		select {
		case <-l.done:
		case <-ctx.Done():
		}
	}
	for {
		s.sweep(draining{}, time.Now())
		open := s.openCount.Load()
		if open == 0 {
			return nil
		}
		if !wait.Sleep(ctx, drainInterval) {
			return fmt.Errorf("drain %d connections: %w", open, context.Cause(ctx))
		}
	}
}

// EndCalls ends the contexts of the requests in progress with a cause, so that their handlers can still answer.
func (s *Server) EndCalls(cause error) {
	s.endCalls(cause)
}

// Close closes all connections, also those with requests in progress.
func (s *Server) Close() {
	s.endCalls(nil)
	s.sweeper.Close()
	s.stopped.Store(true)
	_ = s.http.Close()
}

// stopAccepting makes Serve return once the connections in the queue of its listener are accepted, and returns that
// listener, or nil if there is none yet.
func (s *Server) stopAccepting() *listener {
	s.stopped.Store(true)
	l := s.listener.Load()
	if l != nil {
		l.stop()
	}
	return l
}

// sweep closes the connections that a rule allows to close.
func (s *Server) sweep(r rule, now time.Time) {
	count := s.onLeaving
	if _, ok := r.(overLimit); ok {
		count = s.overLimit
	}
	s.open.Range(func(key, _ any) bool {
		if key.(*conn).closeUnused(r, now) {
			count.Inc()
		}
		return true
	})
}

// trackState is the ConnState hook of the HTTP server.
func (s *Server) trackState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.rest(time.Now())
		// The head of the answer may have been sent before the server began to leave.
		if s.leaving.Load() && c.closeUnused(leaving{}, time.Now()) {
			s.onLeaving.Inc()
		}
	case http.StateClosed, http.StateHijacked:
		if _, wasOpen := s.open.LoadAndDelete(c); wasOpen {
			s.openCount.Add(-1)
		}
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// guard passes on requests whose connection is open, and keeps it open until they are answered.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		// The request may have been read together with one before it whose body has no stated length.
		if !c.begin() {
			s.crossed.Inc()
			panic(http.ErrAbortHandler)
		}
		c.framer.expectBody(r.ContentLength)
		id := r.Header.Get(s.settings.IDHeader)
		c.request.Store(&id)
		defer c.request.Store(nil)
		c.handling.Store(true)
		defer s.reportCut(c, r)
		guarded := &writer{ResponseWriter: w, server: s, conn: c}
		next.ServeHTTP(guarded, r)
		guarded.announce()
	})
}

// reportCut counts and logs a request whose connection this instance has closed before the answer was complete. The
// handler takes it for a request whose caller has disconnected.
func (s *Server) reportCut(c *conn, r *http.Request) {
	if !c.isClosed() {
		return
	}
	s.cut.Inc()
	s.log.WithFields(log.Fields{
		"request": r.Header.Get(s.settings.IDHeader),
		"cause":   "the time to stop is over",
	}).Warn("request was cut by this instance")
}

// reportRefusal logs a request that has not been read whole.
func (s *Server) reportRefusal(status int, cause string) {
	s.log.WithFields(log.Fields{"status": status, "cause": cause}).Info("refused a request over a limit")
}
