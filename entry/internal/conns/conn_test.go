package conns

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/frankban/quicktest"
)

// TestUnreadRequestKeepsConnectionOpen checks that a connection whose next request waits in the kernel is not closed.
func TestUnreadRequestKeepsConnectionOpen(t *testing.T) {
	cases := map[string]struct {
		input string
		rule  rule
		want  bool
	}{
		"request-over-the-limit": {request, overLimit{limit: time.Second}, false},
		"request-while-leaving":  {request, leaving{}, false},
		"nothing-over-the-limit": {"", overLimit{limit: time.Second}, true},
		"nothing-while-leaving":  {"", leaving{}, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			defer func() { _ = listener.Close() }()
			near, err := net.Dial("tcp", listener.Addr().String())
			c.Assert(err, quicktest.IsNil)
			defer func() { _ = near.Close() }()
			raw, err := listener.Accept()
			c.Assert(err, quicktest.IsNil)
			idleConn := newConn(raw, time.Now(), new(metrics.Counter))
			defer func() { _ = idleConn.Close() }()
			c.Assert(idleConn.begin(), quicktest.IsTrue)
			idleConn.announced = time.Second
			idleConn.rest(time.Now())
			_, err = io.WriteString(near, test.input)
			c.Assert(err, quicktest.IsNil)
			time.Sleep(50 * time.Millisecond) // The input crosses loopback.
			c.Assert(idleConn.closeUnused(test.rule, time.Now().Add(time.Hour)), quicktest.Equals, test.want)
		})
	}
}
