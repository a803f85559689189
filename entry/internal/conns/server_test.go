package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/frankban/quicktest"
)

const (
	// waitTimeout bounds each wait of a test; it checks no requirement on speed.
	waitTimeout = 10 * time.Second
	request     = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\norder"
	// chunkedRequest is a request whose body has no stated length.
	chunkedRequest = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n"
	answer         = "answer"
)

// hooks are called by a hookedConn, each once at most.
type hooks struct {
	onRead func() // onRead is called when bytes have been read, before the reader gets them.
	onPeek func() // onPeek is called before the connection is examined for input.
}

// hookedConn is a connection with hooks, which can be set while it is in use.
type hookedConn struct {
	*net.TCPConn
	hooks atomic.Pointer[hooks]
}

// Read reads bytes and calls onRead before it returns them.
func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if h := c.hooks.Load(); n > 0 && h != nil && h.onRead != nil && c.hooks.CompareAndSwap(h, nil) {
		h.onRead()
	}
	return n, err
}

// SyscallConn calls onPeek.
func (c *hookedConn) SyscallConn() (syscall.RawConn, error) {
	if h := c.hooks.Load(); h != nil && h.onPeek != nil && c.hooks.CompareAndSwap(h, nil) {
		h.onPeek()
	}
	return c.TCPConn.SyscallConn()
}

// hookedListener hands the connections that it accepts to a test.
type hookedListener struct {
	net.Listener
	accepted chan *hookedConn
}

// Accept returns the next connection.
func (l *hookedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &hookedConn{TCPConn: raw.(*net.TCPConn)}
	l.accepted <- c
	return c, nil
}

// testServer is a server on loopback whose handler answers each request when it is told to.
type testServer struct {
	*Server
	c        *quicktest.C
	limit    atomic.Int64           // limit is the idle limit in ns.
	onIdle   atomic.Pointer[func()] // onIdle is called when a connection has become idle.
	started  chan struct{}          // started receives a value for each request that the handler gets.
	release  chan struct{}          // release lets the handler answer one request.
	listener *hookedListener
	served   chan error
}

// newTestServer starts a server.
func newTestServer(t *testing.T) *testServer {
	s := &testServer{
		c:        quicktest.New(t),
		started:  make(chan struct{}, 16),
		release:  make(chan struct{}, 16),
		listener: &hookedListener{accepted: make(chan *hookedConn, 16)},
		served:   make(chan error, 1),
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.started <- struct{}{}
		<-s.release
		_, _ = io.WriteString(w, answer)
	})
	s.Server = New(
		Settings{IdleLimit: func() time.Duration { return time.Duration(s.limit.Load()) }, IDHeader: "Id"},
		&http.Server{Handler: handler}, &log.Logger{Handler: discard.New()}, metrics.NewSet(),
	)
	s.http.ConnState = func(raw net.Conn, state http.ConnState) {
		s.trackState(raw, state)
		if f := s.onIdle.Load(); f != nil && state == http.StateIdle {
			(*f)()
		}
	}
	var err error
	s.listener.Listener, err = net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, quicktest.IsNil)
	go func() { s.served <- s.Serve(s.listener) }()
	s.c.Cleanup(s.Close)
	return s
}

// caller is the other end of a connection.
type caller struct {
	s        *testServer
	net      net.Conn
	reader   *bufio.Reader
	accepted *hookedConn
}

// connect opens a connection.
func (s *testServer) connect() *caller {
	raw, err := net.Dial("tcp", s.listener.Addr().String())
	s.c.Assert(err, quicktest.IsNil)
	s.c.Cleanup(func() { _ = raw.Close() })
	s.c.Assert(raw.SetDeadline(time.Now().Add(waitTimeout)), quicktest.IsNil)
	return &caller{s: s, net: raw, reader: bufio.NewReader(raw), accepted: <-s.listener.accepted}
}

// send sends one request.
func (c *caller) send() {
	_, err := io.WriteString(c.net, request)
	c.s.c.Assert(err, quicktest.IsNil)
}

// receive returns the next answer, or an error if the connection ends before it is whole.
func (c *caller) receive() (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	c.s.c.Check(err != nil || string(body) == answer, quicktest.IsTrue)
	return response, err
}

// call sends a request and waits for its answer and until the connection is idle.
func (c *caller) call() {
	c.s.release <- struct{}{}
	c.send()
	<-c.s.started
	_, err := c.receive()
	c.s.c.Assert(err, quicktest.IsNil)
	c.s.waitUntil(func() bool {
		_, isIdle := (*c.tracked().phase.Load()).(idle)
		return isIdle
	})
}

// tracked returns the server's end of the connection, or nil if it has been closed.
func (c *caller) tracked() *conn {
	var found *conn
	c.s.open.Range(func(key, _ any) bool {
		if key.(*conn).Conn == net.Conn(c.accepted) {
			found = key.(*conn)
		}
		return found == nil
	})
	return found
}

// waitUntil waits for a condition, and fails the test after waitTimeout.
func (s *testServer) waitUntil(condition func() bool) {
	s.c.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		s.c.Assert(time.Now().Before(deadline), quicktest.IsTrue, quicktest.Commentf("condition did not become true"))
	}
}

// TestRequestCrossesIdleClose checks that a request that arrives while its connection is closed as idle is either
// answered or never reaches the handler.
func TestRequestCrossesIdleClose(t *testing.T) {
	rules := map[string]struct {
		rule rule
		age  time.Duration // age is how long the connection has been idle.
	}{
		"over-the-limit": {overLimit{limit: time.Second}, time.Hour},
		"leaving":        {leaving{}, time.Hour},
	}
	cases := map[string]struct {
		hooks    func(s *testServer, c *caller, sweep func()) hooks
		answered bool
	}{
		"bytes-read-and-not-handed-over": {
			hooks: func(_ *testServer, _ *caller, sweep func()) hooks { return hooks{onRead: sweep} },
		},
		"request-read-before-the-close": {
			hooks: func(s *testServer, c *caller, _ func()) hooks {
				return hooks{onPeek: func() {
					c.send()
					<-s.started
				}}
			},
			answered: true,
		},
	}
	for ruleName, r := range rules {
		for name, test := range cases {
			t.Run(ruleName+"/"+name, func(t *testing.T) {
				s := newTestServer(t)
				s.limit.Store(int64(time.Second))
				c := s.connect()
				c.call()
				sweep := func() { s.sweep(r.rule, time.Now().Add(r.age)) }
				h := test.hooks(s, c, sweep)
				c.accepted.hooks.Store(&h)
				if h.onPeek != nil {
					sweep()
				} else {
					c.send()
				}
				s.release <- struct{}{}
				_, err := c.receive()
				s.c.Assert(err == nil, quicktest.Equals, test.answered, quicktest.Commentf("%v", err))
				if test.answered {
					s.c.Assert(s.crossed.Get(), quicktest.Equals, uint64(0))
				} else {
					s.waitUntil(func() bool { return s.crossed.Get() == 1 })
				}
				s.c.Assert(len(s.started), quicktest.Equals, 0, quicktest.Commentf("the handler got a request on a closed connection"))
				s.c.Assert(s.cut.Get(), quicktest.Equals, uint64(0))
			})
		}
	}
}

// TestPipelinedRequestIsNotRunOnClosedConnection checks that a request that was read with the one before, whose body has no
// stated length so that the connection learns nothing of it, does not reach the handler once its connection is closed.
func TestPipelinedRequestIsNotRunOnClosedConnection(t *testing.T) {
	s := newTestServer(t)
	s.limit.Store(int64(time.Second))
	c := s.connect()
	_, err := io.WriteString(c.net, chunkedRequest+chunkedRequest)
	s.c.Assert(err, quicktest.IsNil)
	<-s.started
	tracked := c.tracked()
	sweep := func() { s.sweep(overLimit{limit: time.Second}, time.Now().Add(time.Hour)) }
	s.onIdle.Store(&sweep)
	s.release <- struct{}{}
	_, err = c.receive()
	s.c.Assert(err, quicktest.IsNil)
	s.release <- struct{}{}
	_, err = c.receive()
	s.c.Assert(err, quicktest.IsNotNil)
	s.c.Assert(tracked.isClosed(), quicktest.IsTrue)
	s.waitUntil(func() bool { return s.crossed.Get() == 1 })
	s.c.Assert(len(s.started), quicktest.Equals, 0)
}

// TestLeave checks that a leaving server answers the requests that have arrived or come on new connections, announces in
// each answer whose head it sends from then on that the connection closes, and closes idle connections.
func TestLeave(t *testing.T) {
	cases := map[string]struct {
		before   func(s *testServer, c *caller) // before runs before the server leaves.
		after    func(s *testServer, c *caller)
		answered bool
	}{
		"idle-connection": {
			before: func(_ *testServer, c *caller) { c.call() },
			after:  func(*testServer, *caller) {},
		},
		"new-connection": {
			before:   func(*testServer, *caller) {},
			after:    func(_ *testServer, c *caller) { c.send() },
			answered: true,
		},
		"request-in-progress": {
			before: func(s *testServer, c *caller) {
				c.send()
				<-s.started
				s.started <- struct{}{}
			},
			after:    func(*testServer, *caller) {},
			answered: true,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			c := s.connect()
			test.before(s, c)
			s.Leave()
			test.after(s, c)
			if test.answered {
				<-s.started
				s.release <- struct{}{}
				response, err := c.receive()
				s.c.Assert(err, quicktest.IsNil)
				s.c.Assert(response.Close, quicktest.IsTrue)
			}
			_, err := c.receive()
			s.c.Assert(err, quicktest.ErrorIs, io.ErrUnexpectedEOF)
		})
	}
}

// TestDrain checks that a draining server closes connections without a request and completes the others.
func TestDrain(t *testing.T) {
	s := newTestServer(t)
	idleCaller, freshCaller, busyCaller := s.connect(), s.connect(), s.connect()
	idleCaller.call()
	busyCaller.send()
	<-s.started
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	for _, c := range []*caller{idleCaller, freshCaller} {
		_, err := c.receive()
		s.c.Assert(err, quicktest.ErrorIs, io.ErrUnexpectedEOF)
	}
	s.c.Assert(<-s.served, quicktest.Equals, http.ErrServerClosed)
	_, err := net.Dial("tcp", s.listener.Addr().String())
	s.c.Assert(err, quicktest.IsNotNil)
	select {
	case err := <-drained:
		s.c.Fatalf("drained with a request in progress: %v", err)
	case <-time.After(2 * settleTime):
	}
	s.release <- struct{}{}
	response, err := busyCaller.receive()
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(response.Close, quicktest.IsTrue)
	s.c.Assert(<-drained, quicktest.IsNil)
	s.c.Assert(s.onLeaving.Get(), quicktest.Equals, uint64(2))
}

// TestServeAfterDrain checks that a server that has been drained accepts no connection, although it is served only then.
func TestServeAfterDrain(t *testing.T) {
	c := quicktest.New(t)
	s := New(Settings{IdleLimit: func() time.Duration { return 0 }}, &http.Server{}, &log.Logger{Handler: discard.New()}, metrics.NewSet())
	defer s.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Assert(s.Drain(context.Background()), quicktest.IsNil)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	select {
	case err := <-served:
		c.Assert(err, quicktest.Equals, http.ErrServerClosed)
	case <-time.After(waitTimeout):
		c.Fatal("a drained server serves")
	}
	_, err = net.Dial("tcp", listener.Addr().String())
	c.Assert(err, quicktest.IsNotNil)
}

// TestUnannouncedAnswerEndsWhileLeaving checks that the connection of an answer whose head was sent before the server
// left is closed once the answer is whole.
func TestUnannouncedAnswerEndsWhileLeaving(t *testing.T) {
	s := newTestServer(t)
	c := s.connect()
	c.call()
	tracked := c.tracked()
	s.c.Assert(tracked.begin(), quicktest.IsTrue)
	s.Leave()
	s.c.Assert(tracked.isClosed(), quicktest.IsFalse)
	s.trackState(tracked, http.StateIdle)
	_, err := c.receive()
	s.c.Assert(err, quicktest.ErrorIs, io.ErrUnexpectedEOF)
}

// TestDrainTimeout checks that a request that outlasts the time to stop is counted as cut.
func TestDrainTimeout(t *testing.T) {
	s := newTestServer(t)
	c := s.connect()
	c.send()
	<-s.started
	ctx, cancel := context.WithTimeout(context.Background(), 2*drainInterval)
	defer cancel()
	s.c.Assert(s.Drain(ctx), quicktest.ErrorIs, context.DeadlineExceeded)
	s.Close()
	s.release <- struct{}{}
	_, err := c.receive()
	s.c.Assert(err, quicktest.IsNotNil)
	s.waitUntil(func() bool { return s.cut.Get() == 1 })
}
