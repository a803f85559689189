package conns

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/frankban/quicktest"
)

// limitedServer is a server whose limits of heads can be changed.
type limitedServer struct {
	c       *quicktest.C
	limits  atomic.Pointer[HeadLimits]
	asked   atomic.Int32 // asked counts the reads of the limits.
	address string
	runs    atomic.Int32
}

// newLimitedServer starts a server that answers each request.
func newLimitedServer(t *testing.T, limits HeadLimits) *limitedServer {
	s := &limitedServer{c: quicktest.New(t)}
	s.limits.Store(&limits)
	server := New(
		Settings{IdleLimit: func() time.Duration { return time.Minute }, Head: func() HeadLimits {
			defer s.asked.Add(1)
			return *s.limits.Load()
		}},
		&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.runs.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, answer)
		}), MaxHeaderBytes: 256 << 10},
		&log.Logger{Handler: discard.New()}, metrics.NewSet(),
	)
	t.Cleanup(server.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, quicktest.IsNil)
	s.address = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	return s
}

// limitedCaller sends requests to a limited server byte by byte.
type limitedCaller struct {
	net.Conn
	s      *limitedServer
	reader *bufio.Reader
}

// beginHead sends the first part of a head and waits until the server has begun to read it.
func (s *limitedServer) beginHead(kept bool, limits HeadLimits, part string) *limitedCaller {
	var c *limitedCaller
	if kept {
		c = s.dial(true)
	}
	s.limits.Store(&limits)
	asked := s.asked.Load()
	if !kept {
		c = s.dial(false)
	}
	c.write(part)
	for deadline := time.Now().Add(waitTimeout); s.asked.Load() == asked; time.Sleep(time.Millisecond) {
		s.c.Assert(time.Now().Before(deadline), quicktest.IsTrue)
	}
	time.Sleep(20 * time.Millisecond) // The sweeper reads the limits too.
	return c
}

// dial opens a connection; one that is kept has carried a request.
func (s *limitedServer) dial(kept bool) *limitedCaller {
	raw, err := net.Dial("tcp", s.address)
	s.c.Assert(err, quicktest.IsNil)
	s.c.Cleanup(func() { _ = raw.Close() })
	s.c.Assert(raw.SetDeadline(time.Now().Add(waitTimeout)), quicktest.IsNil)
	caller := &limitedCaller{Conn: raw, s: s, reader: bufio.NewReader(raw)}
	if kept {
		caller.write(request)
		s.c.Assert(caller.status(), quicktest.Equals, http.StatusOK)
	}
	return caller
}

// write sends a text; if the connection is closed, status tells.
func (c *limitedCaller) write(text string) {
	_, _ = io.WriteString(c.Conn, text)
}

// status returns the status of the next answer, or 0 if the connection ends without one.
func (c *limitedCaller) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	c.s.c.Assert(err, quicktest.IsNil)
	return response.StatusCode
}

// TestHeadTimeoutInForce guards against heads that are cut by a timeout which is no longer in force, or that are cut
// without an answer.
func TestHeadTimeoutInForce(t *testing.T) {
	const short, pause, long = 400 * time.Millisecond, time.Second, 8 * time.Second
	cases := map[string]struct {
		started time.Duration // started is the timeout at the start of the server; 0 is none.
		before  time.Duration // before is the timeout when the head begins.
		during  time.Duration // during is the timeout from then on.
		want    int
	}{
		"in-time":                {long, long, long, http.StatusOK},
		"too-slow":               {short, short, short, http.StatusRequestTimeout},
		"raised-before-the-head": {short, long, long, http.StatusOK},
		"raised-during-the-head": {short, short, long, http.StatusOK},
		"removed-before":         {short, 0, 0, http.StatusOK},
		"removed-during":         {short, short, 0, http.StatusOK},
		"lowered-before":         {long, short, short, http.StatusRequestTimeout},
		"lowered-during":         {long, long, short, http.StatusOK},
		"set-before":             {0, short, short, http.StatusRequestTimeout},
		"set-during":             {0, 0, short, http.StatusOK},
	}
	for kind, kept := range map[string]bool{"new-connection": false, "kept-connection": true} {
		for name, test := range cases {
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := newLimitedServer(t, HeadLimits{Timeout: test.started})
				c := s.beginHead(kept, HeadLimits{Timeout: test.before}, request[:20])
				runs := s.runs.Load()
				s.limits.Store(&HeadLimits{Timeout: test.during})
				time.Sleep(pause)
				c.write(request[20:])
				s.c.Assert(c.status(), quicktest.Equals, test.want)
				if test.want != http.StatusOK {
					s.c.Assert(c.status(), quicktest.Equals, 0)
					s.c.Assert(s.runs.Load(), quicktest.Equals, runs)
				}
			})
		}
	}
}

// TestHeadBytesInForce guards against heads that are refused by a limit on their size which is no longer in force.
func TestHeadBytesInForce(t *testing.T) {
	const small, large, size = 1000, 64 << 10, 20_000
	text := "POST / HTTP/1.1\r\nHost: h\r\nNote: " + strings.Repeat("x", size) + "\r\nContent-Length: 5\r\n\r\norder"
	cases := map[string]struct {
		started int // started is the limit at the start of the server; 0 is none.
		before  int // before is the limit when the head begins.
		during  int // during is the limit from then on.
		want    int
	}{
		"small-enough":           {large, large, large, http.StatusOK},
		"too-large":              {small, small, small, http.StatusRequestHeaderFieldsTooLarge},
		"raised-before-the-head": {small, large, large, http.StatusOK},
		"raised-during-the-head": {small, small, large, http.StatusOK},
		"removed-before":         {small, 0, 0, http.StatusOK},
		"lowered-before":         {large, small, small, http.StatusRequestHeaderFieldsTooLarge},
		"lowered-during":         {large, large, small, http.StatusOK},
	}
	for kind, kept := range map[string]bool{"new-connection": false, "kept-connection": true} {
		for name, test := range cases {
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := newLimitedServer(t, HeadLimits{Bytes: test.started})
				c := s.beginHead(kept, HeadLimits{Bytes: test.before}, text[:100])
				runs := s.runs.Load()
				s.limits.Store(&HeadLimits{Bytes: test.during})
				c.write(text[100:])
				s.c.Assert(c.status(), quicktest.Equals, test.want)
				if test.want != http.StatusOK {
					s.c.Assert(c.status(), quicktest.Equals, 0)
					s.c.Assert(s.runs.Load(), quicktest.Equals, runs)
				}
			})
		}
	}
}

// TestEndlessHeadEnds guards against heads without end that are taken into memory since no version limits them.
func TestEndlessHeadEnds(t *testing.T) {
	heads := map[string]string{
		"one-line":   "POST / HTTP/1.1\r\nHost: h\r\nNote: ",
		"first-line": "POST /",
		"nothing":    "",
	}
	const endless = 16 << 20 // endless is over what the kernel takes, in bytes.
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLimitedServer(t, HeadLimits{})
			c := s.dial(false)
			c.write(head)
			sent := 0
			part := strings.Repeat("x", 32<<10)
			for sent < endless {
				n, err := io.WriteString(c.Conn, part)
				sent += n
				if err != nil {
					break
				}
			}
			s.c.Assert(sent < endless, quicktest.IsTrue)
			s.c.Assert(s.runs.Load(), quicktest.Equals, int32(0))
		})
	}
}

// TestSilentConnectionIsClosed guards against connections that stay open although nothing has ever arrived, and against
// answers on them.
func TestSilentConnectionIsClosed(t *testing.T) {
	s := newLimitedServer(t, HeadLimits{Timeout: 200 * time.Millisecond})
	c := s.dial(false)
	start := time.Now()
	bytes, err := io.ReadAll(c.reader)
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(bytes, quicktest.HasLen, 0)
	s.c.Assert(time.Since(start) < 5*time.Second, quicktest.IsTrue)
}
