package link

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	input        *boundedReader
	reader       *bufio.Reader // reads from input
	bytesWritten int           // bytes of the current request that were handed to the network
	idleSince    time.Time     // when the connection became idle
	expiresAt    time.Time     // when the target may close the idle connection
	wasPooled    bool          // whether the connection has been idle before
	ends         EndCounts
	hasEnded     atomic.Bool // whether its end is counted
}

// boundedReader reads from a connection up to a bound.
type boundedReader struct {
	io.Reader
	left  int64 // bytes that may still be read; negative sets no bound
	ended bool  // whether the connection has ended
}

// Read returns ErrOversized once the bound is reached.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, ErrOversized
	}
	if b.left > 0 {
		p = p[:min(int64(len(p)), b.left)]
	}
	n, err := b.Reader.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
	}
	b.ended = b.ended || err != nil
	return n, err
}

func newConn(raw net.Conn, ends EndCounts) *conn {
	c := &conn{Conn: raw, ends: ends}
	c.input = &boundedReader{Reader: c, left: -1}
	c.reader = bufio.NewReaderSize(c.input, readBufferSize)
	return c
}

// Read reads bytes of a response.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.noteEnd(err)
	return n, err
}

// noteEnd counts the connection's end, once, if the error of a read or write shows that the target or the kernel has
// ended it.
func (c *conn) noteEnd(err error) {
	if err == nil {
		return
	}
	if end := EndOf(err); end != nil && c.hasEnded.CompareAndSwap(false, true) {
		c.ends.Count(end)
	}
}

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// IsFinalStatus reports whether a status code is one of HTTP for a final response.
func IsFinalStatus(code int) bool {
	return code >= http.StatusOK && code <= maxStatus
}

// readHead reads the head of the next final response within maxHeadSize, and skips interim ones. It returns ErrBroken if
// the connection ended after a part of the head, or if the status is none of HTTP.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	defer func() { c.input.left = -1 }()
	for range maxHeads {
		c.input.left = maxHeadSize
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, request)
		switch {
		case err != nil && c.input.ended:
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		case err != nil:
			return nil, err
		}
		switch {
		case IsFinalStatus(response.StatusCode):
			return response, nil
		case response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus:
			return nil, fmt.Errorf("%w: status %03d", ErrBroken, response.StatusCode)
		}
	}
	return nil, fmt.Errorf("%w: no final response within %d heads", ErrOversized, maxHeads)
}

// skipBody reads and drops the body of a response to another request, within maxStraySize and straySkipTimeout.
func (c *conn) skipBody(body io.Reader) error {
	c.input.left = maxStraySize
	defer func() { c.input.left = -1 }()
	if err := c.SetReadDeadline(time.Now().Add(straySkipTimeout)); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

// Write adds the bytes handed to the network to bytesWritten.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten += n
	c.noteEnd(err)
	return n, err
}

// isReusable reports whether an idle connection has received nothing: no bytes, no end of file and no error.
func (c *conn) isReusable() bool {
	return c.reader.Buffered() == 0 && !HasInput(c.Conn)
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
