package conns

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bramleywharf.example/entry/link"
	"github.com/VictoriaMetrics/metrics"
)

// conn is a caller's connection. Its goroutine in net/http moves it from phase to phase; any goroutine may close it.
type conn struct {
	net.Conn
	framer    framer
	phase     atomic.Pointer[phase]
	announced time.Duration // announced is the idle limit of the last answer's head; only the goroutine in net/http uses it.
	crossed   *metrics.Counter
	request   atomic.Pointer[string]                         // request is the id of the request in progress, or nil.
	ended     atomic.Bool                                    // ended tells that onEnd was called.
	onEnd     func(request *string, end link.End, err error) // onEnd is called when the caller or the kernel has ended the connection.

	limits   func() HeadLimits              // limits returns the limits in force.
	refused  func(status int, cause string) // refused records the refusal of a head.
	handling atomic.Bool                    // handling tells that a handler runs, which sets read deadlines of its own.
	head     *head                          // head is nil unless one is being read; only the reading goroutine uses it.
	early    int                            // early bytes have been read since the last answer, before the head has begun.
}

var (
	busyPhase   = newPhase(busy{})
	closedPhase = newPhase(closed{})
)

func newPhase(p phase) *phase {
	return &p
}

func newConn(raw net.Conn, now time.Time, crossed *metrics.Counter) *conn {
	c := &conn{Conn: raw, crossed: crossed}
	c.phase.Store(newPhase(fresh{since: now}))
	return c
}

// Read returns bytes only if the connection is not being closed. A head that is too slow or too large is refused.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if c.head != nil && c.head.isTooLarge(c.limits()) {
			return 0, c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, "its head is too large")
		}
		n, err := c.framer.read(c.Conn, b)
		if n > 0 && !c.receive(n) {
			c.crossed.Inc()
			return 0, net.ErrClosed
		}
		switch {
		case c.head != nil:
			c.head.bytes += n
		case !c.handling.Load():
			c.early += n
		}
		if n > 0 || c.head == nil || !isTimeout(err) {
			c.noteEnd(err)
			return n, err
		}
		if !c.extendHead() {
			return 0, c.refuseHead(http.StatusRequestTimeout, "its head took too long")
		}
	}
}

// Write sends bytes of an answer.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.noteEnd(err)
	return n, err
}

// Close closes the connection, whatever its phase.
func (c *conn) Close() error {
	c.phase.Store(closedPhase)
	return c.Conn.Close()
}

// CloseWrite lets net/http deliver an answer to a request whose body it does not read to the end.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// receive moves the connection on as n bytes have arrived, and reports false if it has been closed.
func (c *conn) receive(n int) bool {
	for {
		p := c.phase.Load()
		switch (*p).(type) {
		case busy:
			return true
		case closed:
			return false
		}
		next := busyPhase
		if r, ok := received(*p, n, time.Now()).(reading); ok {
			next = newPhase(r)
		}
		if c.phase.CompareAndSwap(p, next) {
			return true
		}
	}
}

// begin moves the connection to busy, and reports false if it has been closed.
func (c *conn) begin() bool {
	return c.receive(headBytes)
}

// rest moves the connection to idle, under the limit that the last answer has announced, unless it has been closed. Bytes
// of the next request that were read with the last one count as received now.
func (c *conn) rest(now time.Time) {
	c.handling.Store(false)
	c.early = 0
	p := c.phase.Load()
	if _, isClosed := (*p).(closed); isClosed {
		return
	}
	next := phase(idle{since: now, limit: c.announced})
	if ahead := int(c.framer.ahead.Load()); ahead > 0 {
		next = received(next, ahead, now)
	}
	c.phase.CompareAndSwap(p, newPhase(next))
}

// hasNext reports whether bytes of a request after the one in hand have arrived.
func (c *conn) hasNext() bool {
	return c.framer.ahead.Load() > 0 || link.HasInput(c.Conn)
}

// closeUnused closes the connection if a rule allows it, and reports whether it did. A connection with input that
// nobody has read yet stays open.
func (c *conn) closeUnused(r rule, now time.Time) bool {
	p := c.phase.Load()
	if !allowsClose(r, *p, now) || link.HasInput(c.Conn) || !c.phase.CompareAndSwap(p, closedPhase) {
		return false
	}
	_ = c.Conn.Close()
	return true
}

// isClosed reports whether this instance has closed the connection.
func (c *conn) isClosed() bool {
	_, ok := (*c.phase.Load()).(closed)
	return ok
}
