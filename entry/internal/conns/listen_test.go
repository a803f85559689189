package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/frankban/quicktest"
)

// gatedListener accepts connections once its gate is open.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

// Accept returns the next connection.
func (l gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// TestQueuedConnectionsAreAnsweredAtStop checks that requests on connections that wait in the listener's queue as the
// server drains are answered, and that it then accepts no more.
func TestQueuedConnectionsAreAnsweredAtStop(t *testing.T) {
	cases := map[string]struct {
		queued int
		serve  bool // serve tells that the server serves before it drains.
	}{
		"none":                  {0, true},
		"one":                   {1, true},
		"many":                  {64, true},
		"many-before-the-start": {64, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := New(Settings{IdleLimit: func() time.Duration { return 0 }}, &http.Server{
				Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }),
			}, &log.Logger{Handler: discard.New()}, metrics.NewSet())
			defer s.Close()
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			listener := gatedListener{raw.(*net.TCPListener), make(chan struct{})}
			callers := make([]net.Conn, test.queued)
			for i := range callers {
				callers[i], err = net.Dial("tcp", raw.Addr().String())
				c.Assert(err, quicktest.IsNil)
				defer func() { _ = callers[i].Close() }()
				c.Assert(callers[i].SetDeadline(time.Now().Add(waitTimeout)), quicktest.IsNil)
				_, err = io.WriteString(callers[i], request)
				c.Assert(err, quicktest.IsNil)
			}
			served, drained := make(chan error, 1), make(chan error, 1)
			serve := func() { served <- s.Serve(listener) }
			if test.serve {
				go serve()
				for s.listener.Load() == nil {
					time.Sleep(time.Millisecond)
				}
			}
			go func() { drained <- s.Drain(context.Background()) }()
			for !s.stopped.Load() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond) // Drain goes on to stop the listener.
			close(listener.gate)
			if !test.serve {
				go serve()
			}
			c.Assert(<-served, quicktest.Equals, http.ErrServerClosed)
			for i, caller := range callers {
				response, err := http.ReadResponse(bufio.NewReader(caller), nil)
				c.Assert(err, quicktest.IsNil, quicktest.Commentf("caller %d", i))
				c.Check(response.Close, quicktest.IsTrue)
				body, err := io.ReadAll(response.Body)
				c.Assert(err, quicktest.IsNil)
				c.Check(string(body), quicktest.Equals, answer)
			}
			c.Assert(<-drained, quicktest.IsNil)
			_, err = net.Dial("tcp", raw.Addr().String())
			c.Assert(err, quicktest.IsNotNil)
		})
	}
}
