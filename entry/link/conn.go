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
	reader       *bufio.Reader
	bytesWritten int       // bytes of the current request that were handed to the network
	idleSince    time.Time // when the connection became idle
	expiresAt    time.Time // when the target may close the idle connection
	wasPooled    bool      // whether the connection has been idle before
}

// Write adds the bytes handed to the network to bytesWritten.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten += n
	return n, err
}

// isReusable reports whether an idle connection has received nothing: no bytes, no end of file and no error.
func (c *conn) isReusable() bool {
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
	noInput := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = errno == syscall.EAGAIN
		return true
	})
	return err == nil && noInput
}

// idleDeadline returns when a target may close an idle connection: after the timeout in the Keep-Alive header of its
// response less the margin, or after the fallback.
func idleDeadline(now time.Time, h http.Header, margin, fallback time.Duration) time.Time {
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
