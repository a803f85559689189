package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/frankban/quicktest"
)

// overBoth is a rule under which an hour is over the idle limit and over the time for a head.
var overBoth = overLimit{limit: time.Second, head: time.Second}

// sendPart sends a part of a request to an idle connection and waits until the server has read it.
func (c *caller) sendPart(part string) {
	read := make(chan struct{})
	c.accepted.hooks.Store(&hooks{onRead: func() { close(read) }})
	_, err := io.WriteString(c.net, part)
	c.s.c.Assert(err, quicktest.IsNil)
	<-read
	c.s.waitUntil(func() bool {
		_, isIdle := (*c.tracked().phase.Load()).(idle)
		return !isIdle
	})
}

// TestStrayBytesDoNotHoldConnection checks that a connection on which a few bytes have followed the last request is
// closed beyond the idle limit and does not delay a stop.
func TestStrayBytesDoNotHoldConnection(t *testing.T) {
	inputs := map[string]string{
		"none":            "",
		"one-byte":        "G",
		"line-break":      "\r\n",
		"line-break-byte": "\r\nP",
	}
	stops := map[string]func(s *testServer) error{
		"over-the-limit": func(s *testServer) error {
			s.sweep(overBoth, time.Now().Add(time.Hour))
			return nil
		},
		"draining": func(s *testServer) error {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			return s.Drain(ctx)
		},
	}
	for inputName, input := range inputs {
		for stopName, stop := range stops {
			t.Run(inputName+"/"+stopName, func(t *testing.T) {
				s := newTestServer(t)
				s.limit.Store(int64(time.Second))
				c := s.connect()
				c.call()
				if input != "" {
					c.sendPart(input)
				}
				tracked := c.tracked()
				s.c.Assert(stop(s), quicktest.IsNil)
				s.c.Assert(tracked.isClosed(), quicktest.IsTrue)
				_, err := c.receive()
				s.c.Assert(err, quicktest.IsNotNil)
				s.c.Assert(len(s.started), quicktest.Equals, 0)
			})
		}
	}
}

// TestSlowHeadIsAnswered checks that a request whose head arrives in parts, in time, is answered on a connection that
// would be closed without it.
func TestSlowHeadIsAnswered(t *testing.T) {
	cases := map[string]struct {
		first int // first is the number of bytes that arrive before the rule is applied.
		rule  rule
		after time.Duration
	}{
		"first-byte-within-the-header-timeout": {1, overLimit{limit: time.Second, head: time.Hour}, time.Minute},
		"first-byte-within-the-idle-limit":     {1, overLimit{limit: time.Hour, head: time.Second}, time.Minute},
		"first-byte-while-leaving":             {1, leaving{}, time.Hour},
		"first-byte-while-draining":            {1, draining{}, 0},
		"half-a-head-over-the-limit":           {len(request) / 2, overBoth, time.Hour},
		"half-a-head-while-draining":           {len(request) / 2, draining{}, time.Hour},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			s.limit.Store(int64(time.Second))
			c := s.connect()
			c.call()
			began := time.Now()
			c.sendPart(request[:test.first])
			s.sweep(test.rule, began.Add(test.after))
			_, err := io.WriteString(c.net, request[test.first:])
			s.c.Assert(err, quicktest.IsNil)
			s.release <- struct{}{}
			_, err = c.receive()
			s.c.Assert(err, quicktest.IsNil)
		})
	}
}

// TestStalledHeadEnds checks that a request that stalls within its head, after any number of bytes, does not keep its
// connection open.
func TestStalledHeadEnds(t *testing.T) {
	cases := map[string]int{"one-byte": 1, "one-byte-less": headBytes - 1, "bounded-by-net-http": headBytes, "half-a-head": len(request) / 2}
	for name, count := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			s := New(
				Settings{IdleLimit: func() time.Duration { return 100 * time.Millisecond }},
				&http.Server{
					Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }),
					ReadHeaderTimeout: 300 * time.Millisecond,
				},
				&log.Logger{Handler: discard.New()}, metrics.NewSet(),
			)
			defer s.Close()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			go func() { _ = s.Serve(listener) }()
			raw, err := net.Dial("tcp", listener.Addr().String())
			c.Assert(err, quicktest.IsNil)
			defer func() { _ = raw.Close() }()
			c.Assert(raw.SetDeadline(time.Now().Add(waitTimeout)), quicktest.IsNil)
			_, err = io.WriteString(raw, request)
			c.Assert(err, quicktest.IsNil)
			reader := bufio.NewReader(raw)
			response, err := http.ReadResponse(reader, nil)
			c.Assert(err, quicktest.IsNil)
			_, err = io.Copy(io.Discard, response.Body)
			c.Assert(err, quicktest.IsNil)
			_, err = io.WriteString(raw, request[:count])
			c.Assert(err, quicktest.IsNil)
			_, err = io.Copy(io.Discard, reader) // net/http may answer 400 before it closes.
			c.Assert(err, quicktest.IsNil)
		})
	}
}

// TestHeadCrossesClose checks that the rest of a head that arrives while its connection is closed is either answered or
// never reaches the handler.
func TestHeadCrossesClose(t *testing.T) {
	rules := map[string]rule{"over-the-limit": overBoth, "draining": draining{}}
	cases := map[string]struct {
		answered bool // answered tells that the rest is read before the connection is closed.
	}{
		"read-before-the-close":    {answered: true},
		"read-and-not-handed-over": {},
	}
	for ruleName, r := range rules {
		for name, test := range cases {
			t.Run(ruleName+"/"+name, func(t *testing.T) {
				s := newTestServer(t)
				s.limit.Store(int64(time.Second))
				c := s.connect()
				c.call()
				c.sendPart(request[:2])
				sendRest := func() {
					_, err := io.WriteString(c.net, request[2:])
					s.c.Check(err, quicktest.IsNil)
				}
				sweep := func() { s.sweep(r, time.Now().Add(time.Hour)) }
				if test.answered {
					c.accepted.hooks.Store(&hooks{onPeek: func() {
						sendRest()
						<-s.started
					}})
					sweep()
				} else {
					c.accepted.hooks.Store(&hooks{onRead: sweep})
					sendRest()
				}
				s.release <- struct{}{}
				_, err := c.receive()
				s.c.Assert(err == nil, quicktest.Equals, test.answered, quicktest.Commentf("%v", err))
				if !test.answered {
					s.waitUntil(func() bool { return s.crossed.Get() == 1 })
				}
				s.c.Assert(len(s.started), quicktest.Equals, 0)
				s.c.Assert(s.cut.Get(), quicktest.Equals, uint64(0))
			})
		}
	}
}
