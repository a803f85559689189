package engine

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// flakyServer answers the first request of each connection and reads the second without an answer; it counts all requests that reach it.
func flakyServer(c *quicktest.C, answers int) (address string, requests *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for i := 0; ; i++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					requests.Add(1)
					_ = r.Body.Close()
					if i >= answers {
						return
					}
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// TestTransportReplays shows the trap: net/http sends a call with a key again when a kept connection closes under it.
func TestTransportReplays(t *testing.T) {
	c := quicktest.New(t)
	address, requests := flakyServer(c, 1)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders", strings.NewReader("7"))
		c.Assert(err, quicktest.IsNil)
		r.Header.Set("Idempotency-Key", "k")
		if response, err := client.Do(r); err == nil {
			_, _ = response.Body.Read(make([]byte, 16))
			_ = response.Body.Close()
		}
	}
	c.Assert(requests.Load() > 2, quicktest.IsTrue, quicktest.Commentf("2 calls reached the server %d times", requests.Load()))
}

func TestCallerSendsOnce(t *testing.T) {
	cases := map[string]struct {
		answers int
		call    Call
		calls   int
		want    error
	}{
		"closed-without-answer": {answers: 0, call: Call{Method: "POST", Path: "/orders", Key: "k", Body: []byte("7")}, calls: 1, want: ErrUnknown},
		"without-a-body":        {answers: 0, call: Call{Method: "POST", Path: "/orders", Key: "k"}, calls: 1, want: ErrUnknown},
		"get":                   {answers: 0, call: Call{Method: "GET", Path: "/orders"}, calls: 1, want: ErrUnknown},
		"answered":              {answers: 1, call: Call{Method: "POST", Path: "/orders", Key: "k", Body: []byte("7")}, calls: 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			address, requests := flakyServer(c, test.answers)
			caller := NewCaller(nil)
			for range test.calls {
				_, err := caller.Call(context.Background(), address, test.call)
				c.Assert(errors.Is(err, test.want), quicktest.IsTrue, quicktest.Commentf("%v", err))
			}
			c.Assert(requests.Load(), quicktest.Equals, int64(test.calls))
		})
	}
}

func TestCallerNotSent(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), quicktest.IsNil)
	_, err = NewCaller(nil).Call(context.Background(), address, Call{Method: "POST", Path: "/orders"})
	c.Assert(errors.Is(err, ErrNotSent), quicktest.IsTrue)
}

func TestCallerFollowsNoRedirect(t *testing.T) {
	c := quicktest.New(t)
	var hits atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})}
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(func() { _ = server.Close() })
	result, err := NewCaller(nil).Call(context.Background(), listener.Addr().String(), Call{Method: "POST", Path: "/orders", Body: []byte("7")})
	c.Assert(err, quicktest.IsNil)
	c.Assert(result.Status, quicktest.Equals, http.StatusTemporaryRedirect)
	c.Assert(hits.Load(), quicktest.Equals, int64(1))
}
