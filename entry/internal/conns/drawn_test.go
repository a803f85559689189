package conns

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/frankban/quicktest"
)

// drawnRequests are what callers may send one after the other on a connection.
var drawnRequests = []string{
	"GET /none HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /all HTTP/1.1\r\nHost: h\r\n\r\n",
	"HEAD /all HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /all HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\norder",
	"POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n\r\n\r\nx",
	"POST /part HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\n\n\n\n\n\n\n\n",
	"POST /all HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
	"POST /all HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("\r\n", 4500),
	"POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("\r\n", 4500),
	"POST /all HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n",
	"POST /part HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\nX: y\r\n\r\n",
	"POST /none HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n",
	"POST /all HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\norder",
	"GET /all HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	"GET /all HTTP/1.1\nHost: h\n\n",
	"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /all HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\norder\r\nGET /all HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /all HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("l", 9000) + "\r\n\r\n",
}

// drawnHandler reads no part, some or all of a body, and says so.
func drawnHandler(w http.ResponseWriter, r *http.Request) {
	var b []byte
	switch r.URL.Path {
	case "/all":
		b, _ = io.ReadAll(r.Body)
	case "/part":
		b = make([]byte, 2)
		_, _ = io.ReadFull(r.Body, b)
	}
	_, _ = fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.Path, len(b))
}

// varying matches the headers that differ between two servers.
var varying = regexp.MustCompile(`(?m)^(Date|Keep-Alive):.*\r\n`)

// talk sends a text, cut into several writes, and returns all that comes back.
func talk(t *testing.T, address, text string, cuts []int) string {
	c := quicktest.New(t)
	raw, err := net.Dial("tcp", address)
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = raw.Close() }()
	_ = raw.SetDeadline(time.Now().Add(waitTimeout))
	go func() {
		from := 0
		for _, cut := range append(slices.Clone(cuts), len(text)) {
			_, _ = io.WriteString(raw, text[from:cut])
			from = cut
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		}
	}()
	var out bytes.Buffer
	_, _ = io.Copy(&out, raw)
	return varying.ReplaceAllString(out.String(), "")
}

// TestDrawnRequestsAreAnsweredAsByNetHTTP guards against bytes that a connection loses or adds.
func TestDrawnRequestsAreAnsweredAsByNetHTTP(t *testing.T) {
	server := New(
		Settings{IdleLimit: func() time.Duration { return time.Minute }, Head: func() HeadLimits { return HeadLimits{Timeout: 5 * time.Second, Bytes: 64 << 10} }},
		&http.Server{Handler: http.HandlerFunc(drawnHandler), MaxHeaderBytes: 256 << 10},
		&log.Logger{Handler: discard.New()}, metrics.NewSet(),
	)
	plain := &http.Server{Handler: http.HandlerFunc(drawnHandler), MaxHeaderBytes: 256 << 10}
	listen := func(s interface{ Serve(net.Listener) error }) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Serve(l) }()
		return l.Addr().String()
	}
	t.Cleanup(server.Close)
	t.Cleanup(func() { _ = plain.Close() })
	a, b := listen(server), listen(plain)
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var text strings.Builder
		for range 1 + r.IntN(6) {
			text.WriteString(drawnRequests[r.IntN(len(drawnRequests))])
		}
		text.WriteString("GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		whole := text.String()
		var cuts []int
		for at := 0; r.IntN(3) > 0 && at < len(whole) && len(cuts) < 40; {
			at = min(len(whole), at+1+r.IntN(200))
			cuts = append(cuts, at)
		}
		got, want := talk(t, a, whole, cuts), talk(t, b, whole, cuts)
		if got != want {
			t.Errorf("seed %d:\n%.300q\ngot  %.600q\nwant %.600q", seed, whole, got, want)
		}
	}
}
