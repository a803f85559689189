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

// echo is the header by which responses name their request.
const echo = "X-Echo"

// target serves raw responses; write is given the number of the connection and of the request on it.
type target struct {
	address string
	opened  atomic.Int64
}

// newTarget starts a target that reads each request and then writes its response.
func newTarget(t *testing.T, write func(c net.Conn, request *http.Request, conn, turn int) bool) *target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	served := &target{address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(served.opened.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for turn := 1; ; turn++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil || !write(c, request, number, turn) {
						return
					}
				}
			}()
		}
	}()
	return served
}

// respond writes a whole response to a request of an id.
func respond(c net.Conn, id, more, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Echo: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
	return err == nil
}

// ask sends a request and returns the whole body.
func ask(l *Link, r Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, body, err := l.Exchange(ctx, r)
	return string(body), err
}

// newLink returns a link that is closed at the end of a test.
func newLink(t *testing.T) *Link {
	l := New(Settings{EchoHeader: echo}, metrics.NewSet())
	t.Cleanup(l.Close)
	return l
}

// request returns the request of an id.
func request(address, id string) Request {
	return Request{Address: address, Host: "x", Method: http.MethodPost, Path: "/p", Body: []byte("question"), Echo: id}
}

func TestSend(t *testing.T) {
	cases := map[string]struct {
		write  func(c net.Conn, r *http.Request, conn, turn int) bool
		sends  int
		body   string // body is what the last send returns.
		err    error  // err is how the last send fails, or nil.
		opened int64  // opened counts the connections that the target saw.
	}{
		"connection-is-used-again": {
			write: func(c net.Conn, r *http.Request, _, turn int) bool {
				return respond(c, r.Header.Get("X-Request"), "", fmt.Sprint(turn))
			},
			sends: 3, body: "3", opened: 1,
		},
		"close-is-kept-to": {
			write: func(c net.Conn, r *http.Request, conn, _ int) bool {
				respond(c, r.Header.Get("X-Request"), "Connection: close\r\n", fmt.Sprint(conn))
				return false
			},
			sends: 3, body: "3", opened: 3,
		},
		"stray-response-is-skipped": {
			write: func(c net.Conn, r *http.Request, _, turn int) bool {
				if turn == 2 {
					respond(c, "another", "", "stray")
				}
				return respond(c, r.Header.Get("X-Request"), "", "own")
			},
			sends: 2, body: "own", opened: 1,
		},
		"foreign-responses-only": {
			write: func(c net.Conn, _ *http.Request, _, _ int) bool {
				for range maxStrays {
					respond(c, "another", "", "stray")
				}
				return true
			},
			sends: 1, err: ErrStray, opened: 1,
		},
		"body-is-cut": {
			write: func(c net.Conn, r *http.Request, _, _ int) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Echo: %s\r\nContent-Length: 100\r\n\r\npart", r.Header.Get("X-Request"))
				return false
			},
			sends: 1, err: ErrBroken, opened: 1,
		},
		"chunks-are-cut": {
			write: func(c net.Conn, r *http.Request, _, _ int) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Echo: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", r.Header.Get("X-Request"))
				return false
			},
			sends: 1, err: ErrBroken, opened: 1,
		},
		"too-much-follows": {
			write: func(c net.Conn, r *http.Request, conn, _ int) bool {
				return respond(c, r.Header.Get("X-Request"), "", fmt.Sprint(conn)) && respond(c, "late", "", "late")
			},
			sends: 2, body: "2", opened: 2,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			served := newTarget(t, test.write)
			l := newLink(t)
			var body string
			var err error
			for n := range test.sends {
				id := fmt.Sprint("id-", n)
				r := request(served.address, id)
				r.Header = map[string][]string{"X-Request": {id}}
				body, err = ask(l, r)
				time.Sleep(20 * time.Millisecond) // What follows a response must have arrived before the next send.
			}
			c.Assert(errors.Is(err, test.err), quicktest.IsTrue, quicktest.Commentf("%v", err))
			if test.err == nil {
				c.Assert(body, quicktest.Equals, test.body)
			}
			c.Assert(served.opened.Load(), quicktest.Equals, test.opened)
		})
	}
}

func TestNotSent(t *testing.T) {
	cases := map[string]struct {
		address func(t *testing.T) string
		sent    bool // sent tells that the target may have run the request.
	}{
		"nobody-listens": {address: func(t *testing.T) string {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			return listener.Addr().String()
		}},
		"closed-without-response": {sent: true, address: func(t *testing.T) string {
			return newTarget(t, func(net.Conn, *http.Request, int, int) bool { return false }).address
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			_, err := ask(newLink(t), request(test.address(t), "id"))
			var unsent *NotSentError
			c.Assert(err, quicktest.IsNotNil)
			c.Assert(errors.As(err, &unsent), quicktest.Equals, !test.sent)
		})
	}
}

func TestIdle(t *testing.T) {
	cases := map[string]struct {
		bound  int   // bound is that of the requests.
		opened int64 // opened counts the connections after two bursts.
	}{
		"no-bound-given": {bound: 0, opened: 12 + 4},
		"bound":          {bound: 2, opened: 12 + 10},
		"one":            {bound: 1, opened: 12 + 11},
		"over-the-limit": {bound: 100, opened: 12 + 4},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			const burst = 12
			arrived := make(chan struct{}, burst)
			release := make(chan struct{})
			served := newTarget(t, func(c net.Conn, r *http.Request, _, _ int) bool {
				arrived <- struct{}{}
				<-release
				return respond(c, r.Header.Get("X-Request"), "", "")
			})
			l := newLink(t)
			for range 2 {
				ended := make(chan error, burst)
				for range burst {
					go func() {
						r := request(served.address, "id")
						r.Header = map[string][]string{"X-Request": {"id"}}
						r.Idle = test.bound
						_, err := ask(l, r)
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
			c.Assert(served.opened.Load(), quicktest.Equals, test.opened)
		})
	}
}
