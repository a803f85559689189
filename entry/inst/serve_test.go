package inst

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bramleywharf.example/entry/link"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// callerDeadline is the longest deadline of callers on the sites.
const callerDeadline = 25 * time.Second

// optionServer reads the socket options of the first connection that it accepts.
type optionServer struct {
	options chan map[int]int
}

// Serve accepts one connection.
func (s optionServer) Serve(l net.Listener) error {
	raw, err := l.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = raw.Close() }()
	control, err := raw.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	options := make(map[int]int)
	err = control.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT, unix.TCP_USER_TIMEOUT} {
			if value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option); err == nil {
				options[option] = value
			}
		}
	})
	s.options <- options
	return err
}

// listen serves an address on loopback as an instance does, and connects to it.
func listen(t *testing.T, server interface{ Serve(net.Listener) error }) net.Conn {
	c := quicktest.New(t)
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	address := probe.Addr().String()
	c.Assert(probe.Close(), quicktest.IsNil)
	i := &Instance{failed: make(chan error, 1), log: &log.Logger{Handler: discard.New()}}
	c.Assert(i.serve(server, address), quicktest.IsNil)
	caller, err := net.Dial("tcp", address)
	c.Assert(err, quicktest.IsNil)
	t.Cleanup(func() { _ = caller.Close() })
	return caller
}

// TestSilentCallerIsKeptUntilItsDeadline checks that the kernel keeps an accepted connection whose caller is out of reach,
// or reads nothing, for as long as callers wait for answers.
func TestSilentCallerIsKeptUntilItsDeadline(t *testing.T) {
	// A socket for MPTCP, on which Go listens by default, does not take TCP_USER_TIMEOUT.
	for name, debug := range map[string]string{"default": "", "mptcp": "multipathtcp=2", "no-mptcp": "multipathtcp=0"} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			t.Setenv("GODEBUG", debug)
			server := optionServer{make(chan map[int]int, 1)}
			listen(t, server)
			options := <-server.options
			probes := options[unix.TCP_KEEPIDLE] + options[unix.TCP_KEEPCNT]*options[unix.TCP_KEEPINTVL]
			c.Check(time.Duration(probes)*time.Second >= callerDeadline, quicktest.IsTrue, quicktest.Commentf("probes end it after %d s", probes))
			if err := link.CheckUserTimeout(); err != nil {
				t.Logf("user timeout not checked: %v", err)
				return
			}
			userTimeout := time.Duration(options[unix.TCP_USER_TIMEOUT]) * time.Millisecond
			c.Check(userTimeout >= callerDeadline, quicktest.IsTrue, quicktest.Commentf("bytes stay unacknowledged for %v", userTimeout))
		})
	}
}

// TestCallerThatPausesGetsItsAnswer checks that a caller that reads nothing for some seconds gets a long answer whole.
func TestCallerThatPausesGetsItsAnswer(t *testing.T) {
	const size = 32 << 20 // More than the buffers of both ends hold.
	c := quicktest.New(t)
	t.Setenv("GODEBUG", "multipathtcp=0")
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	})}
	t.Cleanup(func() { _ = server.Close() })
	caller := listen(t, server)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, quicktest.IsNil)
	time.Sleep(4 * time.Second)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	c.Assert(err, quicktest.IsNil)
	n, err := io.Copy(io.Discard, response.Body)
	c.Assert(err, quicktest.IsNil)
	c.Assert(n, quicktest.Equals, int64(size))
}
