package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/frankban/quicktest"
)

// TestResetOfTargetIsToldFromItsClose checks that a connection to a target is counted once by how it ended.
func TestResetOfTargetIsToldFromItsClose(t *testing.T) {
	cases := map[string]struct {
		end  func(c net.Conn) error
		want map[string]uint64
	}{
		"closed": {
			end:  func(net.Conn) error { return nil },
			want: map[string]uint64{"closed": 1, "reset": 0},
		},
		"reset": {
			end:  func(c net.Conn) error { return c.(*net.TCPConn).SetLinger(0) },
			want: map[string]uint64{"closed": 0, "reset": 1},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			target := newTarget(t, func(raw net.Conn, _ *http.Request, _, _ int) bool {
				_, _ = io.WriteString(raw, "HTTP/1.1 200 OK\r\nX-Echo: id\r\nContent-Length: 9\r\n\r\npart")
				_ = test.end(raw)
				return false
			})
			set := metrics.NewSet()
			l := New(Settings{EchoHeader: "X-Echo"}, set)
			_, _, err := l.Exchange(context.Background(), newRequest(target.address, "id"))
			c.Assert(err, quicktest.ErrorIs, ErrBroken)
			for cause, want := range test.want {
				count := set.GetOrCreateCounter(`bramleywharf_target_connections_ended_total{cause="` + cause + `"}`)
				c.Check(count.Get(), quicktest.Equals, want, quicktest.Commentf("%s", cause))
			}
		})
	}
}
