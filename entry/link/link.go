package link

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout   = 150 * time.Millisecond // dialTimeout bounds the wait for a connection; failure domains are milliseconds apart, so a target that needs longer is dark.
	idleFallback  = 2 * time.Second        // idleFallback is how long a connection is kept when the target names no timeout.
	idleMargin    = 500 * time.Millisecond // idleMargin is taken off the timeout that a target names, which is in whole seconds.
	maxIdle       = 8                      // maxIdle bounds the idle connections to one target, where the request gives no lower bound.
	userTimeout   = 2 * time.Second        // userTimeout ends a connection whose bytes are not acknowledged.
	probeIdle     = time.Second            // probeIdle is the silence after which a connection is probed.
	probeInterval = 500 * time.Millisecond // probeInterval is the time between two such probes.
	probeCount    = 2                      // probeCount is the number of unanswered probes that end a connection.
	readSize      = 4 << 10                // readSize is the buffer of one connection, in bytes.
	maxStrays     = 3                      // maxStrays bounds the responses to other requests that are skipped.
	maxWhole      = 16 << 20               // maxWhole bounds a response that is held in memory, in bytes.
)

// Errors of one send.
var (
	ErrBroken = errors.New("response is not whole or not in the protocol")
	ErrStray  = errors.New("response belongs to another request")
)

// NotSentError says that no byte of a request reached its target.
type NotSentError struct {
	Err error
}

// Error describes the failure.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Request is one request to a target.
type Request struct {
	Address string
	Host    string
	Method  string
	Path    string // Path is the raw request target.
	Header  map[string][]string
	Body    []byte
	Echo    string // Echo is the value that the target repeats in its response; empty for calls whose response repeats none.
	Fresh   bool   // Fresh asks for a connection that was not used before.
	Idle    int    // Idle bounds the idle connections to the target that are kept after the response; 0 means that only the link's own bound holds.
}

// Settings configures a link.
type Settings struct {
	EchoHeader string // EchoHeader names the header by which a response is told from one to another request.
}

// Link keeps connections to targets.
type Link struct {
	settings Settings
	dialer   net.Dialer
	opened   *metrics.Counter
	strays   *metrics.Counter
	stale    *metrics.Counter

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a link without connections.
func New(s Settings, set *metrics.Set) *Link {
	return &Link{
		settings: s,
		dialer:   Dialer(dialTimeout),
		opened:   set.GetOrCreateCounter("bramleywharf_target_connections_total"),
		strays:   set.GetOrCreateCounter("bramleywharf_stray_responses_total"),
		stale:    set.GetOrCreateCounter("bramleywharf_stale_connections_total"),
		idle:     make(map[string][]*conn),
	}
}

// Dialer returns a dialer whose connections notice a peer that is gone without a word.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(),
		Control:         BoundUnacknowledged,
	}
}

// KeepAlive returns the probes that show a connection that went silent.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// CheckUserTimeout returns an error where the kernel does not bound how long sent bytes may stay unacknowledged; the probes remain then.
func CheckUserTimeout() error {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("open a socket: %w", err)
	}
	defer func() { _ = unix.Close(fd) }()
	return setUserTimeout(fd)
}

// BoundUnacknowledged bounds how long sent bytes may stay unacknowledged on a socket that is being made; a connection serves without it as well, and CheckUserTimeout tells once where it fails.
func BoundUnacknowledged(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { _ = setUserTimeout(int(fd)) })
}

// setUserTimeout sets the bound on a socket.
func setUserTimeout(fd int) error {
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

// Close closes the idle connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, list := range l.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(l.idle, address)
	}
}

// Drop closes the idle connections to an address.
func (l *Link) Drop(address string) {
	l.mu.Lock()
	list := l.idle[address]
	delete(l.idle, address)
	l.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Probe tells whether a target still takes connections; the one it opens is kept for the next request.
func (l *Link) Probe(ctx context.Context, address string) error {
	c, err := l.dial(ctx, address)
	if err != nil {
		return err
	}
	l.put(address, c, nil, maxIdle)
	return nil
}

// Send sends a request and returns the head of its response; the context ends both at any time.
//
// A NotSentError says that the target never had the request. After any other
// error it may have run.
func (l *Link) Send(ctx context.Context, r Request) (*Reply, error) {
	c, err := l.take(ctx, r)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	reply := &Reply{link: l, address: r.Address, idle: r.Idle, conn: c, written: make(chan error, 1)}
	reply.unhook = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := l.exchange(ctx, r, reply); err != nil {
		reply.Close()
		return nil, err
	}
	return reply, nil
}

// Exchange sends a request and returns its response with the whole body.
func (l *Link) Exchange(ctx context.Context, r Request) (*Reply, []byte, error) {
	reply, err := l.Send(ctx, r)
	if err != nil {
		return nil, nil, err
	}
	body, err := reply.Whole()
	if err != nil {
		return nil, nil, err
	}
	return reply, body, nil
}

// dial opens a connection.
func (l *Link) dial(ctx context.Context, address string) (*conn, error) {
	l.opened.Inc()
	raw, err := l.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to target %s: %w", address, err)
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readSize)}, nil
}

// exchange writes a request and reads the head of its own response.
func (l *Link) exchange(ctx context.Context, r Request, reply *Reply) error {
	head, rest, err := encode(r)
	if err != nil {
		return &NotSentError{Err: err}
	}
	c := reply.conn
	c.written = 0
	if len(rest) == 0 {
		err := write(c, head, rest)
		reply.written <- err
		if err != nil && c.written == 0 {
			return &NotSentError{Err: fmt.Errorf("send to target %s: %w", r.Address, err)}
		}
	} else {
		go func() { reply.written <- write(c, head, rest) }()
	}
	var asked *http.Request // asked is needed for responses that never have a body; nil stands for GET.
	if r.Method == http.MethodHead {
		asked = &http.Request{Method: r.Method}
	}
	for range maxStrays {
		response, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return fmt.Errorf("read response of target %s: %w", r.Address, orContext(ctx, err))
		}
		if response.StatusCode == http.StatusContinue {
			continue
		}
		if echo := response.Header.Get(l.settings.EchoHeader); echo != r.Echo && (echo != "" || c.used) {
			l.strays.Inc()
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return fmt.Errorf("skip stray response of target %s: %w", r.Address, orContext(ctx, err))
			}
			continue
		}
		reply.response = response
		return nil
	}
	return fmt.Errorf("target %s: %w", r.Address, ErrStray)
}

// put keeps a connection for the next request, and no more than bound to its target.
func (l *Link) put(address string, c *conn, h http.Header, bound int) {
	c.used = true
	c.idle = time.Now()
	c.expires = expiry(c.idle, h, idleMargin, idleFallback)
	if !c.expires.After(c.idle) || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	list := append(l.idle[address], c)
	if bound <= 0 || bound > maxIdle {
		bound = maxIdle
	}
	for len(list) > bound {
		_ = list[0].Close()
		list = list[1:]
	}
	l.idle[address] = list
}

// take returns a kept connection that is still quiet, the youngest first, or a new one.
func (l *Link) take(ctx context.Context, r Request) (*conn, error) {
	for !r.Fresh {
		c := l.pop(r.Address)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.quiet() {
			return c, nil
		}
		l.stale.Inc()
		_ = c.Close()
	}
	return l.dial(ctx, r.Address)
}

// pop takes the youngest idle connection to an address, or nil.
func (l *Link) pop(address string) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	l.idle[address] = list[:len(list)-1]
	if len(list) == 1 {
		delete(l.idle, address)
	}
	return c
}

// orContext returns the context's error where it ended the connection, or else the error itself.
func orContext(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	return err
}

// write sends a whole request.
func write(c *conn, head, rest []byte) error {
	if _, err := c.Write(head); err != nil || len(rest) == 0 {
		return err
	}
	_, err := c.Write(rest)
	return err
}
