package conns

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/frankban/quicktest"
)

// textConn is a connection that delivers a text.
type textConn struct {
	net.Conn
	text io.Reader
	read int // read is the number of bytes delivered.
}

// Read reads from the text.
func (c *textConn) Read(b []byte) (int, error) {
	n, err := c.text.Read(b)
	c.read += n
	return n, err
}

// TestFramerCountsLaterRequests checks that a framer delivers all bytes, however they arrive and are read, and knows at
// the head of each request how many bytes of later ones have been read.
func TestFramerCountsLaterRequests(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	const get2 = "GET / HTTP/1.1\nHost: h\n\n" // Lines may end without a carriage return.
	const post = "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nG\n\r\n\r\n\n\nE"
	cases := map[string][]string{
		"one":                {get},
		"two":                {get, get},
		"line-feeds":         {get2, get2, get},
		"bodies":             {post, post, post},
		"body-between":       {get, post, get2},
		"begun-next":         {post, "GET / HT"},
		"line-break-after":   {post, "\r\n" + get},
		"line-break-at-last": {post, "\r\n"},
	}
	arrivals := map[string]func(r io.Reader) io.Reader{
		"whole":  func(r io.Reader) io.Reader { return r },
		"halves": iotest.HalfReader,
		"bytes":  iotest.OneByteReader,
	}
	for name, requests := range cases {
		for arrival, arrive := range arrivals {
			for _, size := range []int{1, 7, 4096} {
				t.Run(fmt.Sprintf("%s/%s/%d", name, arrival, size), func(t *testing.T) {
					c := quicktest.New(t)
					text := strings.Join(requests, "")
					raw := &textConn{text: arrive(strings.NewReader(text))}
					f := &framer{}
					var got bytes.Buffer
					b := make([]byte, size)
					readTo := func(length int) {
						for got.Len() < length {
							n, err := f.read(raw, b)
							c.Assert(err, quicktest.IsNil)
							got.Write(b[:n])
						}
						c.Assert(got.Len(), quicktest.Equals, length, quicktest.Commentf("read across the end of a part"))
					}
					begin := 0
					for _, r := range requests {
						body := 0
						if strings.HasPrefix(r, "POST") {
							body = 9
						}
						readTo(begin + len(r) - body)
						begin += len(r)
						if !strings.HasSuffix(r, "\n") && body == 0 || r == "\r\n" {
							c.Check(f.ahead.Load() > 0, quicktest.IsTrue)
							continue
						}
						f.expectBody(int64(body))
						c.Check(f.ahead.Load(), quicktest.Equals, int64(max(0, raw.read-begin)))
						readTo(begin)
						c.Check(f.ahead.Load(), quicktest.Equals, int64(max(0, raw.read-begin)))
					}
					c.Check(got.String(), quicktest.Equals, text)
				})
			}
		}
	}
}

// TestPipelinedRequestsAreAnswered checks that each request of several in one write is answered although their connection
// would be closed after the first, and that a leaving server announces the close with the last answer.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	inputs := map[string]string{
		"bodies":    request + request + request,
		"no-bodies": get + get + get,
		"mixed":     get + request + get,
		"chunks":    get + request + chunkedRequest,
	}
	closes := map[string]struct {
		atFirst func(s *testServer) // atFirst runs during the first request.
		atIdle  func(s *testServer) // atIdle runs when the connection has become idle.
		closes  bool
	}{
		"over-the-limit": {
			atFirst: func(*testServer) {},
			atIdle:  func(s *testServer) { s.sweep(overLimit{limit: time.Second}, time.Now().Add(time.Hour)) },
		},
		"leaving": {
			atFirst: func(s *testServer) { s.Leave() },
			atIdle:  func(s *testServer) { s.sweep(leaving{}, time.Now()) },
			closes:  true,
		},
		"draining": {
			atFirst: func(s *testServer) { s.Leave() },
			atIdle:  func(s *testServer) { s.sweep(draining{}, time.Now().Add(time.Hour)) },
			closes:  true,
		},
	}
	for inputName, input := range inputs {
		for name, test := range closes {
			t.Run(inputName+"/"+name, func(t *testing.T) {
				s := newTestServer(t)
				s.limit.Store(int64(time.Second))
				c := s.connect()
				_, err := io.WriteString(c.net, input)
				s.c.Assert(err, quicktest.IsNil)
				<-s.started
				test.atFirst(s)
				answers := 0
				atIdle := func() {
					if answers++; answers < 3 {
						test.atIdle(s)
					}
				}
				s.onIdle.Store(&atIdle)
				for i := range 3 {
					s.release <- struct{}{}
					response, err := c.receive()
					s.c.Assert(err, quicktest.IsNil, quicktest.Commentf("answer %d", i))
					s.c.Check(response.Close, quicktest.Equals, test.closes && i == 2, quicktest.Commentf("answer %d", i))
				}
				s.c.Check(s.crossed.Get(), quicktest.Equals, uint64(0))
				if test.closes {
					_, err := c.receive()
					s.c.Check(err, quicktest.ErrorIs, io.ErrUnexpectedEOF)
				}
			})
		}
	}
}
