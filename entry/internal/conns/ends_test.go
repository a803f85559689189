package conns

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/frankban/quicktest"
)

// endingConn is a connection whose end shows as another error.
type endingConn struct {
	net.Conn
	err error
}

// Read replaces the end of the connection.
func (c endingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.err
	}
	return n, err
}

// endingListener accepts connections whose end shows as another error.
type endingListener struct {
	net.Listener
	err error
}

// Accept returns the next connection.
func (l endingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	return endingConn{raw, l.err}, err
}

// TestKernelEndIsToldFromCallerClose checks that a connection that the kernel ends is counted by its cause, and logged
// with the request that it carried, apart from one that the caller closes.
func TestKernelEndIsToldFromCallerClose(t *testing.T) {
	readError := func(errno syscall.Errno) error {
		return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
	}
	cases := map[string]struct {
		err   error
		cause string
		lines int // lines is the number of lines for a connection that carries a request.
	}{
		"closed":      {io.EOF, "closed", 0},
		"reset":       {readError(syscall.ECONNRESET), "reset", 1},
		"broken-pipe": {readError(syscall.EPIPE), "broken-pipe", 1},
		"timeout":     {readError(syscall.ETIMEDOUT), "timeout", 1},
		"unreachable": {readError(syscall.EHOSTUNREACH), "unreachable", 1},
	}
	for name, test := range cases {
		for _, carriesRequest := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%v", name, carriesRequest), func(t *testing.T) {
				c := quicktest.New(t)
				set, lines := metrics.NewSet(), memory.New()
				started, ended := make(chan struct{}), make(chan struct{})
				s := New(Settings{IdleLimit: func() time.Duration { return 0 }, IDHeader: "Id"}, &http.Server{
					Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
						close(started)
						<-r.Context().Done()
						close(ended)
					}),
				}, &log.Logger{Handler: lines, Level: log.InfoLevel}, set)
				defer s.Close()
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, quicktest.IsNil)
				go func() { _ = s.Serve(endingListener{listener, test.err}) }()
				caller, err := net.Dial("tcp", listener.Addr().String())
				c.Assert(err, quicktest.IsNil)
				if carriesRequest {
					_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\nId: r-1\r\n\r\n")
					c.Assert(err, quicktest.IsNil)
					<-started
				}
				c.Assert(caller.Close(), quicktest.IsNil)
				count := set.GetOrCreateCounter(fmt.Sprintf("bramleywharf_caller_connections_ended_total{cause=%q}", test.cause))
				for deadline := time.Now().Add(waitTimeout); count.Get() == 0; time.Sleep(time.Millisecond) {
					c.Assert(time.Now().Before(deadline), quicktest.IsTrue, quicktest.Commentf("the end was not counted"))
				}
				c.Assert(count.Get(), quicktest.Equals, uint64(1))
				if !carriesRequest {
					c.Assert(lines.Entries, quicktest.HasLen, 0)
					return
				}
				<-ended
				c.Assert(lines.Entries, quicktest.HasLen, test.lines)
				for _, line := range lines.Entries {
					c.Assert(line.Fields.Get("request"), quicktest.Equals, "r-1")
					c.Assert(line.Fields.Get("cause"), quicktest.Equals, test.cause)
				}
			})
		}
	}
}
