package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"bramleywharf.example/core/quota"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// The bounds that endless responses are checked against.
const (
	maxEndlessTime  = 2 * time.Second // an endless response is given up within this time
	maxEndlessAlloc = 4 << 20         // bytes that may be allocated for one endless response
)

// writeForever writes text to a connection until that fails.
func writeForever(c io.Writer, text string) bool {
	block := []byte(strings.Repeat(text, 1+(32<<10)/len(text)))
	for {
		if _, err := c.Write(block); err != nil {
			return false
		}
	}
}

// TestEndless checks that a target that sends bytes without end is given up within stated bounds of time and memory,
// wherever in a response the bytes come, and that its connection is closed.
func TestEndless(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Echo: id\r\n"
	const stray = "HTTP/1.1 200 OK\r\nX-Echo: another\r\n"
	cases := map[string]struct {
		start, repeated string
	}{
		"status-line":          {"HTTP/1.1 200 ", "x"},
		"no-response":          {"", "\x00\x01garbage"},
		"lines-of-no-response": {"", "garbage\r\n"},
		"header-line":          {head + "X-Long: ", "x"},
		"header-lines":         {head, "X-Another: 1\r\n"},
		"interim-responses":    {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"stray-body":           {stray + "\r\n", "x"},
		"stray-chunks":         {stray + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nwxyz\r\n"},
		"stray-responses":      {"", stray + "Content-Length: 1\r\n\r\nx"},
		"chunk-extension":      {head + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		"chunk-size":           {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer-line":         {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "x"},
		"trailer-lines":        {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Another: 1\r\n"},
		"body":                 {head + "\r\n", "x"},
		"chunks":               {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nwxyz\r\n"},
		"announced-body":       {head + "Content-Length: 1000000000000\r\n\r\n", "x"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			closed := make(chan struct{})
			target := newTarget(t, func(conn net.Conn, _ *http.Request, _, _ int) bool {
				defer close(closed)
				_, _ = io.WriteString(conn, test.start)
				return writeForever(conn, test.repeated)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 2*maxEndlessTime)
			defer cancel()
			budget := quota.New(1 << 20)
			account := budget.Open()
			defer account.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			_, _, err := newLink(t).Exchange(quota.NewContext(ctx, account), newRequest(target.address, "id"))
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			c.Assert(err, quicktest.IsNotNil)
			var notSentErr *NotSentError
			c.Assert(errors.As(err, &notSentErr), quicktest.IsFalse)
			c.Assert(ctx.Err(), quicktest.IsNil)
			c.Assert(took < maxEndlessTime, quicktest.IsTrue, quicktest.Commentf("took %v", took))
			allocated := after.TotalAlloc - before.TotalAlloc
			c.Assert(allocated < maxEndlessAlloc, quicktest.IsTrue, quicktest.Commentf("allocated %d bytes", allocated))
			select {
			case <-closed:
			case <-time.After(maxEndlessTime):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// TestSlowStray checks that a response to another request, a byte at a time, does not keep a request waiting for longer
// than the time to skip it.
func TestSlowStray(t *testing.T) {
	c := quicktest.New(t)
	target := newTarget(t, func(conn net.Conn, _ *http.Request, _, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Echo: another\r\nContent-Length: 1000\r\n\r\n")
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	start := time.Now()
	_, err := exchange(newLink(t), newRequest(target.address, "id"))
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(time.Since(start) < straySkipTimeout+500*time.Millisecond, quicktest.IsTrue)
}

// TestInterim checks that interim responses are skipped, and that the final one is returned.
func TestInterim(t *testing.T) {
	cases := map[string]string{
		"continue":    "HTTP/1.1 100 Continue\r\n\r\n",
		"early-hints": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
		"several":     strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxHeads-1),
	}
	for name, interim := range cases {
		t.Run(name, func(t *testing.T) {
			target := newTarget(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
				_, _ = fmt.Fprint(conn, interim)
				return respond(conn, r.Header.Get("X-Request"), "", "final")
			})
			r := newRequest(target.address, "id")
			r.Header = map[string][]string{"X-Request": {"id"}}
			body, err := exchange(newLink(t), r)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, body, quicktest.Equals, "final")
		})
	}
}
