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

// startClosingServer starts a server that answers some requests of each connection and closes it after reading the next
// one. It counts the requests that it reads.
func startClosingServer(c *quicktest.C, responsesPerConnection int) (address string, requests *atomic.Int64) {
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
					if i >= responsesPerConnection {
						return
					}
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// TestTransportReplays shows the behaviour of net/http that Caller avoids: a request with an idempotency key is resent
// when a reused connection closes.
func TestTransportReplays(t *testing.T) {
	c := quicktest.New(t)
	address, requests := startClosingServer(c, 1)
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
		responsesPerConnection int
		call                   Call
		callCount              int
		wantErr                error
	}{
		"closed-without-response": {responsesPerConnection: 0, call: Call{Method: "POST", Path: "/orders", Key: "k", Body: []byte("7")}, callCount: 1, wantErr: ErrUnknown},
		"without-body":            {responsesPerConnection: 0, call: Call{Method: "POST", Path: "/orders", Key: "k"}, callCount: 1, wantErr: ErrUnknown},
		"get":                     {responsesPerConnection: 0, call: Call{Method: "GET", Path: "/orders"}, callCount: 1, wantErr: ErrUnknown},
		"one-response":            {responsesPerConnection: 1, call: Call{Method: "POST", Path: "/orders", Key: "k", Body: []byte("7")}, callCount: 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			address, requests := startClosingServer(c, test.responsesPerConnection)
			caller := NewCaller(nil)
			for range test.callCount {
				_, err := caller.Call(context.Background(), address, test.call)
				c.Assert(errors.Is(err, test.wantErr), quicktest.IsTrue, quicktest.Commentf("%v", err))
			}
			c.Assert(requests.Load(), quicktest.Equals, int64(test.callCount))
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
	var requests atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})}
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(func() { _ = server.Close() })
	result, err := NewCaller(nil).Call(context.Background(), listener.Addr().String(), Call{Method: "POST", Path: "/orders", Body: []byte("7")})
	c.Assert(err, quicktest.IsNil)
	c.Assert(result.Status, quicktest.Equals, http.StatusTemporaryRedirect)
	c.Assert(requests.Load(), quicktest.Equals, int64(1))
}
