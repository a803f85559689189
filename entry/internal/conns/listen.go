package conns

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// lateAcceptTime bounds the time in which a listener that stops accepts the connections in its queue.
	lateAcceptTime = 200 * time.Millisecond
	// acceptTimeout bounds the wait for a connection that has left the queue in the meantime.
	acceptTimeout = 50 * time.Millisecond
)

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	server  *Server
	stopped atomic.Pointer[time.Time] // stopped is when the listener was told to stop, or nil.
	done    chan struct{}             // done is closed when no more connections are accepted.
}

// queue is a listener whose queue of connections can be examined while one waits for a connection.
type queue interface {
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Accept returns the next connection. Once the listener stops, it accepts those that wait in its queue, since the kernel
// resets them with their requests as the listener closes, and then closes it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		stopped := l.stopped.Load()
		if stopped != nil && !l.prepareLateAccept(*stopped) {
			_ = l.Close()
			return nil, net.ErrClosed
		}
		raw, err := l.Listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case err != nil:
			return nil, err
		}
		c := newConn(raw, time.Now(), l.server.crossed)
		c.onEnd = l.server.recordEnd
		c.limits, c.refused = l.server.settings.Head, l.server.reportRefusal
		l.server.open.Store(c, true)
		l.server.openCount.Add(1)
		return c, nil
	}
}

// prepareLateAccept reports whether a connection waits, and sets the deadline to accept it.
func (l *listener) prepareLateAccept(stopped time.Time) bool {
	now := time.Now()
	q, ok := l.Listener.(queue)
	return ok && now.Sub(stopped) < lateAcceptTime && hasWaiting(q) && q.SetDeadline(now.Add(acceptTimeout)) == nil
}

// stop makes Accept end once the queue is empty.
func (l *listener) stop() {
	now := time.Now()
	if !l.stopped.CompareAndSwap(nil, &now) {
		return
	}
	if q, ok := l.Listener.(queue); !ok || q.SetDeadline(now) != nil {
		_ = l.Close()
	}
}

// hasWaiting reports whether a connection waits in the queue of a listener.
func hasWaiting(q queue) bool {
	control, err := q.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = control.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}
