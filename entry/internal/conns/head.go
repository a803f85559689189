package conns

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// headMarker is the header timeout of net/http, which shows where a head begins and is not applied itself.
	headMarker = time.Hour
	// headSlack is what may arrive beyond the limit on bytes, as net/http reads up to 4 KiB at once, with parts of a body.
	headSlack = 4 << 10
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = time.Second
	// resetDelay is the time between a refusal and the close of its connection. A close with unread input resets the
	// connection, and the caller might not read the refusal.
	resetDelay = 500 * time.Millisecond
)

// HeadLimits bound the head of a request.
type HeadLimits struct {
	Timeout time.Duration // Timeout bounds the time until the head is whole; 0 means without limit.
	Bytes   int           // Bytes bounds its size, within that of the HTTP server; 0 means without limit.
}

// with returns the wider of two limits.
func (l HeadLimits) with(other HeadLimits) HeadLimits {
	return HeadLimits{Timeout: wider(l.Timeout, other.Timeout), Bytes: wider(l.Bytes, other.Bytes)}
}

// wider returns the larger of two limits; 0 means without limit.
func wider[T int | time.Duration](a, b T) T {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// head is the head of a request that is being read.
type head struct {
	since  time.Time
	limits HeadLimits // limits are those at its begin, which its caller may go by if they have been lowered since.
	bytes  int        // bytes have been read of it, with what came before it.
}

// deadline returns the time by which the head has to be whole, or zero if it may take any time.
func (h head) deadline(inForce HeadLimits) time.Time {
	limits := h.limits.with(inForce)
	if limits.Timeout == 0 {
		return time.Time{}
	}
	return h.since.Add(limits.Timeout)
}

// isTooLarge reports whether more bytes have been read than the head may have.
func (h head) isTooLarge(inForce HeadLimits) bool {
	limits := h.limits.with(inForce)
	return limits.Bytes > 0 && h.bytes >= limits.Bytes+headSlack
}

// SetReadDeadline sets the deadline of reads, except for a head, whose deadline follows the limits in force. Outside of
// handlers, net/http sets a deadline in the future only when a head begins.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.handling.Load() {
		return c.Conn.SetReadDeadline(t)
	}
	if now := time.Now(); t.After(now) {
		c.head = &head{since: now, limits: c.limits(), bytes: c.early}
		t = c.head.deadline(c.head.limits)
	} else if t.IsZero() {
		c.head = nil
	}
	return c.Conn.SetReadDeadline(t)
}

// extendHead moves the deadline of the head on if the limits in force have been raised, and reports whether it did.
func (c *conn) extendHead() bool {
	deadline := c.head.deadline(c.limits())
	if !deadline.IsZero() && !deadline.After(time.Now()) {
		return false
	}
	return c.Conn.SetReadDeadline(deadline) == nil
}

// refuseHead answers a request whose head is over a limit and has not run, unless nothing of it has arrived. It returns
// an error that net/http does not answer.
func (c *conn) refuseHead(status int, cause string) error {
	if _, isBusy := (*c.phase.Load()).(busy); isBusy {
		c.refused(status, cause)
		text := fmt.Sprintf("%d %s", status, http.StatusText(status))
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
			text, len(text), text)
		if err == nil && c.CloseWrite() == nil {
			time.Sleep(resetDelay)
		}
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.ErrDeadlineExceeded}
}

// isTimeout reports whether a read has ended at its deadline.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
