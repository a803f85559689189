package link

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	written int       // written counts the bytes that were handed to the network for the current request.
	idle    time.Time // idle is when the connection was put back.
	expires time.Time // expires is when the target may close the idle connection, or zero.
	used    bool
}

// Write counts what is handed to the network.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

// quiet tells whether nothing has arrived on an idle connection: neither bytes nor its end.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failure == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// expiry returns when a target may close an idle connection, by what its response says.
func expiry(now time.Time, h http.Header, margin, fallback time.Duration) time.Time {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return now.Add(time.Duration(seconds)*time.Second - margin)
		}
	}
	return now.Add(fallback)
}
