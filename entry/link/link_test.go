package link

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// echoHeader is the response header that repeats the id of the request.
const echoHeader = "X-Echo"

// testTarget is a server that counts the connections opened to it.
type testTarget struct {
	address     string
	openedConns atomic.Int64
}

// newTarget starts a target that reads each request and calls write, which writes the raw response and returns whether
// the connection stays open. Connections, and the requests on each, are numbered from 1.
func newTarget(t *testing.T, write func(c net.Conn, r *http.Request, connNumber, requestNumber int) bool) *testTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &testTarget{address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			connNumber := int(target.openedConns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for requestNumber := 1; ; requestNumber++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil || !write(c, request, connNumber, requestNumber) {
						return
					}
				}
			}()
		}
	}()
	return target
}

// respond writes a whole response to the request with an id, and returns whether that succeeded.
func respond(c net.Conn, id, extraHeaders, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Echo: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extraHeaders, len(body), body)
	return err == nil
}

// exchange sends a request and returns the body of its response.
func exchange(l *Link, r Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, body, err := l.Exchange(ctx, r)
	return string(body), err
}

// newLink returns a link that is closed at the end of the test.
func newLink(t *testing.T) *Link {
	l := New(Settings{EchoHeader: echoHeader}, metrics.NewSet())
	t.Cleanup(l.Close)
	return l
}

// newRequest returns a request with an id.
func newRequest(address, id string) Request {
	return Request{Address: address, Host: "x", Method: http.MethodPost, Path: "/p", Body: []byte("question"), Echo: id}
}

func TestSend(t *testing.T) {
	cases := map[string]struct {
		write       func(c net.Conn, r *http.Request, connNumber, requestNumber int) bool
		sendCount   int
		body        string // body of the last response
		err         error  // error of the last send, or nil
		openedConns int64  // connections opened to the target
	}{
		"connection-is-reused": {
			write: func(c net.Conn, r *http.Request, _, requestNumber int) bool {
				return respond(c, r.Header.Get("X-Request"), "", fmt.Sprint(requestNumber))
			},
			sendCount: 3, body: "3", openedConns: 1,
		},
		"connection-close-is-honoured": {
			write: func(c net.Conn, r *http.Request, connNumber, _ int) bool {
				respond(c, r.Header.Get("X-Request"), "Connection: close\r\n", fmt.Sprint(connNumber))
				return false
			},
			sendCount: 3, body: "3", openedConns: 3,
		},
		"stray-response-is-skipped": {
			write: func(c net.Conn, r *http.Request, _, requestNumber int) bool {
				if requestNumber == 2 {
					respond(c, "another", "", "stray")
				}
				return respond(c, r.Header.Get("X-Request"), "", "own")
			},
			sendCount: 2, body: "own", openedConns: 1,
		},
		"stray-responses-only": {
			write: func(c net.Conn, _ *http.Request, _, _ int) bool {
				for range maxStrayResponses {
					respond(c, "another", "", "stray")
				}
				return true
			},
			sendCount: 1, err: ErrStray, openedConns: 1,
		},
		"body-is-truncated": {
			write: func(c net.Conn, r *http.Request, _, _ int) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Echo: %s\r\nContent-Length: 100\r\n\r\npart", r.Header.Get("X-Request"))
				return false
			},
			sendCount: 1, err: ErrBroken, openedConns: 1,
		},
		"chunked-body-is-truncated": {
			write: func(c net.Conn, r *http.Request, _, _ int) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Echo: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", r.Header.Get("X-Request"))
				return false
			},
			sendCount: 1, err: ErrBroken, openedConns: 1,
		},
		"connection-with-late-response-is-not-reused": {
			write: func(c net.Conn, r *http.Request, connNumber, _ int) bool {
				return respond(c, r.Header.Get("X-Request"), "", fmt.Sprint(connNumber)) && respond(c, "late", "", "late")
			},
			sendCount: 2, body: "2", openedConns: 2,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			target := newTarget(t, test.write)
			l := newLink(t)
			var body string
			var err error
			for i := range test.sendCount {
				id := fmt.Sprint("id-", i)
				r := newRequest(target.address, id)
				r.Header = map[string][]string{"X-Request": {id}}
				body, err = exchange(l, r)
				time.Sleep(20 * time.Millisecond) // Bytes after the response must arrive before the next send.
			}
			c.Assert(errors.Is(err, test.err), quicktest.IsTrue, quicktest.Commentf("%v", err))
			if test.err == nil {
				c.Assert(body, quicktest.Equals, test.body)
			}
			c.Assert(target.openedConns.Load(), quicktest.Equals, test.openedConns)
		})
	}
}

func TestNotSent(t *testing.T) {
	cases := map[string]struct {
		address    func(t *testing.T) string
		mayHaveRun bool // whether the target may have run the request
	}{
		"connection-refused": {address: func(t *testing.T) string {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			return listener.Addr().String()
		}},
		"closed-without-response": {mayHaveRun: true, address: func(t *testing.T) string {
			return newTarget(t, func(net.Conn, *http.Request, int, int) bool { return false }).address
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			_, err := exchange(newLink(t), newRequest(test.address(t), "id"))
			var notSentErr *NotSentError
			c.Assert(err, quicktest.IsNotNil)
			c.Assert(errors.As(err, &notSentErr), quicktest.Equals, !test.mayHaveRun)
		})
	}
}

func TestIdle(t *testing.T) {
	cases := map[string]struct {
		maxIdle     int   // bound in the requests
		openedConns int64 // connections opened by two bursts of requests
	}{
		"no-bound-in-request":         {maxIdle: 0, openedConns: 12 + 4},
		"bound-of-two":                {maxIdle: 2, openedConns: 12 + 10},
		"bound-of-one":                {maxIdle: 1, openedConns: 12 + 11},
		"bound-over-that-of-the-link": {maxIdle: 100, openedConns: 12 + 4},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			const burst = 12
			arrived := make(chan struct{}, burst)
			release := make(chan struct{})
			target := newTarget(t, func(c net.Conn, r *http.Request, _, _ int) bool {
				arrived <- struct{}{}
				<-release
				return respond(c, r.Header.Get("X-Request"), "", "")
			})
			l := newLink(t)
			for range 2 {
				ended := make(chan error, burst)
				for range burst {
					go func() {
						r := newRequest(target.address, "id")
						r.Header = map[string][]string{"X-Request": {"id"}}
						r.Idle = test.maxIdle
						_, err := exchange(l, r)
						ended <- err
					}()
				}
				for range burst {
					<-arrived
				}
				for range burst {
					release <- struct{}{}
				}
				for range burst {
					c.Assert(<-ended, quicktest.IsNil)
				}
			}
			c.Assert(target.openedConns.Load(), quicktest.Equals, test.openedConns)
		})
	}
}

// TestCancelledRequestIsNotSent checks that a request whose caller has left is not sent on an idle connection.
func TestCancelledRequestIsNotSent(t *testing.T) {
	c := quicktest.New(t)
	var received atomic.Int64
	target := newTarget(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		received.Add(1)
		return respond(c, r.Header.Get("Id"), "Keep-Alive: timeout=60\r\n", "body")
	})
	l := newLink(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for attempt := int64(1); attempt <= 20; attempt++ {
		_, err := exchange(l, Request{Address: target.address, Host: "h", Method: "GET", Path: "/"})
		c.Assert(err, quicktest.IsNil)
		_, err = l.Send(ctx, Request{Address: target.address, Host: "h", Method: "GET", Path: "/"})
		var notSentErr *NotSentError
		c.Check(errors.As(err, &notSentErr), quicktest.IsTrue, quicktest.Commentf("%v", err))
		c.Check(errors.Is(err, context.Canceled), quicktest.IsTrue)
		time.Sleep(10 * time.Millisecond) // A request that was sent reaches the target.
		c.Check(received.Load(), quicktest.Equals, attempt)
	}
}
