package link

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bramleywharf.example/core/quota"
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the wait for a connection. Failure domains are milliseconds apart, so a target that takes
	// longer is unreachable.
	dialTimeout        = 150 * time.Millisecond
	defaultIdleTimeout = 2 * time.Second        // idle time after which a connection is closed if its target gives none
	idleTimeoutMargin  = 500 * time.Millisecond // subtracted from a target's idle timeout, which is in whole seconds
	maxIdleConns       = 8                      // idle connections to one target, where a request sets no lower bound
	readBufferSize     = 4 << 10                // in bytes, for each connection
	maxStrayResponses  = 3                      // most responses that are read to find the right one
	maxHeads           = 8                      // most heads that are read for one response, interim ones (1xx) included
	maxHeadSize        = 64 << 10               // in bytes, for the head of one response
	maxStraySize       = 256 << 10              // in bytes, for the body of a response that is skipped
	straySkipTimeout   = time.Second            // bounds the time to skip the body of one response
	maxBodySize        = 16 << 20               // in bytes, for a response that is read whole
)

// Errors of a request that may have run.
var (
	// ErrBroken means that a response had begun and could not be read whole: its connection ended within the head, or its
	// body is incomplete, malformed or too large.
	ErrBroken = errors.New("response is incomplete, malformed or too large")
	// ErrStray means that the connection returned only responses to other requests.
	ErrStray = errors.New("response belongs to another request")
	// ErrOversized means that the head of a response, or one to another request, exceeds its bound in bytes.
	ErrOversized = errors.New("response head or stray response is too large")
)

// NotSentError means that no byte of a request was sent to its target.
type NotSentError struct {
	Err error
}

// Error describes why the request was not sent.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the error that kept the request from being sent.
func (e *NotSentError) Unwrap() error { return e.Err }

// IsNotSent reports whether err means that the target never received the request.
func IsNotSent(err error) bool {
	var notSentErr *NotSentError
	return errors.As(err, &notSentErr)
}

// Request is one request to a target.
type Request struct {
	Address string
	Host    string
	Method  string
	Path    string // Path is the raw request target.
	Header  map[string][]string
	Body    []byte
	Echo    string // Echo is the request id that the target repeats in its response, or empty if it repeats none.
	Fresh   bool   // Fresh asks for a new connection.
	Idle    int    // Idle bounds the idle connections kept to the target, below the bound of the link; 0 sets none.
}

// Settings configures a link.
type Settings struct {
	EchoHeader string // EchoHeader names the response header that repeats the id of the request.
}

// Link sends requests to targets and keeps a pool of idle connections.
type Link struct {
	settings       Settings
	dialer         net.Dialer
	openedConns    *metrics.Counter
	strayResponses *metrics.Counter
	staleConns     *metrics.Counter
	ends           EndCounts

	mu        sync.Mutex
	idleConns map[string][]*conn // from address to connections, the last returned one at the end
}

// New returns a link without connections.
func New(s Settings, set *metrics.Set) *Link {
	return &Link{
		settings:       s,
		dialer:         TargetBounds().Dialer(dialTimeout),
		openedConns:    set.GetOrCreateCounter("bramleywharf_target_connections_total"),
		strayResponses: set.GetOrCreateCounter("bramleywharf_stray_responses_total"),
		staleConns:     set.GetOrCreateCounter("bramleywharf_stale_connections_total"),
		ends:           NewEndCounts(set, "bramleywharf_target_connections_ended_total"),
		idleConns:      make(map[string][]*conn),
	}
}

// Close closes the idle connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, conns := range l.idleConns {
		for _, c := range conns {
			_ = c.Close()
		}
		delete(l.idleConns, address)
	}
}

// Drop closes the idle connections to an address.
func (l *Link) Drop(address string) {
	l.mu.Lock()
	conns := l.idleConns[address]
	delete(l.idleConns, address)
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Probe returns an error if a target accepts no connection. The connection is kept for the next request.
func (l *Link) Probe(ctx context.Context, address string) error {
	c, err := l.dial(ctx, address)
	if err != nil {
		return err
	}
	l.putIdle(address, c, nil, maxIdleConns)
	return nil
}

// Send sends a request and returns its response once the head has been read. The context may cancel it at any time,
// also while the body is read.
//
// A NotSentError means that the target never received the request. After any
// other error the request may have run.
func (l *Link) Send(ctx context.Context, r Request) (*Reply, error) {
	if err := ctx.Err(); errors.Is(err, context.Canceled) {
		return nil, &NotSentError{Err: err}
	}
	c, err := l.getConn(ctx, r)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	reply := &Reply{link: l, address: r.Address, maxIdle: r.Idle, conn: c, account: quota.FromContext(ctx), writeResult: make(chan error, 1)}
	reply.detachContext = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := l.roundTrip(ctx, r, reply); err != nil {
		reply.Close()
		return nil, err
	}
	return reply, nil
}

// Exchange sends a request and returns its response and the whole body. Its errors are those of Send and ErrBroken.
func (l *Link) Exchange(ctx context.Context, r Request) (*Reply, []byte, error) {
	return WithBody(l.Send(ctx, r))
}

func (l *Link) dial(ctx context.Context, address string) (*conn, error) {
	l.openedConns.Inc()
	raw, err := l.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to target %s: %w", address, err)
	}
	return newConn(raw, l.ends), nil
}

// roundTrip writes a request and reads the head of its response. It skips responses to other requests, and writes a
// large body while it reads.
func (l *Link) roundTrip(ctx context.Context, r Request, reply *Reply) error {
	head, rest, err := encodeRequest(r)
	if err != nil {
		return &NotSentError{Err: err}
	}
	c := reply.conn
	c.bytesWritten = 0
	if len(rest) == 0 {
		err := writeRequest(c, head, rest)
		reply.writeResult <- err
		if err != nil && c.bytesWritten == 0 {
			return &NotSentError{Err: fmt.Errorf("send to target %s: %w", r.Address, err)}
		}
	} else {
		go func() { reply.writeResult <- writeRequest(c, head, rest) }()
	}
	var req *http.Request // The response to HEAD has no body; nil stands for GET.
	if r.Method == http.MethodHead {
		req = &http.Request{Method: r.Method}
	}
	for range maxStrayResponses {
		response, err := c.readHead(req)
		if err != nil {
			return fmt.Errorf("read response of target %s: %w", r.Address, contextErrOr(ctx, err))
		}
		if echo := response.Header.Get(l.settings.EchoHeader); echo != r.Echo && (echo != "" || c.wasPooled) {
			l.strayResponses.Inc()
			if err := c.skipBody(response.Body); err != nil {
				return fmt.Errorf("skip stray response of target %s: %w", r.Address, contextErrOr(ctx, err))
			}
			continue
		}
		reply.response = response
		return nil
	}
	return fmt.Errorf("target %s: %w", r.Address, ErrStray)
}

// putIdle keeps an idle connection for the next request, and closes the oldest ones to its target over maxIdle.
func (l *Link) putIdle(address string, c *conn, h http.Header, maxIdle int) {
	c.wasPooled = true
	c.idleSince = time.Now()
	c.expiresAt = idleDeadline(c.idleSince, h, idleTimeoutMargin, defaultIdleTimeout)
	if !c.expiresAt.After(c.idleSince) || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := append(l.idleConns[address], c)
	if maxIdle <= 0 || maxIdle > maxIdleConns {
		maxIdle = maxIdleConns
	}
	for len(conns) > maxIdle {
		_ = conns[0].Close()
		conns = conns[1:]
	}
	l.idleConns[address] = conns
}

// getConn returns the most recently used idle connection that can be reused, or a new connection.
func (l *Link) getConn(ctx context.Context, r Request) (*conn, error) {
	for !r.Fresh {
		c := l.popIdle(r.Address)
		if c == nil {
			break
		}
		if time.Now().Before(c.expiresAt) && c.isReusable() {
			return c, nil
		}
		l.staleConns.Inc()
		_ = c.Close()
	}
	return l.dial(ctx, r.Address)
}

// popIdle removes and returns the most recently used idle connection to an address, or returns nil.
func (l *Link) popIdle(address string) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := l.idleConns[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	l.idleConns[address] = conns[:len(conns)-1]
	if len(conns) == 1 {
		delete(l.idleConns, address)
	}
	return c
}

// contextErrOr returns the error of the context if it has ended, otherwise err.
func contextErrOr(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	return err
}

func writeRequest(c *conn, head, rest []byte) error {
	if _, err := c.Write(head); err != nil || len(rest) == 0 {
		return err
	}
	_, err := c.Write(rest)
	return err
}
