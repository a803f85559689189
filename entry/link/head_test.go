package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// TestHeadCutShort guards against answers whose target ends within the head: they must never be taken for whole ones, and
// they are known to have begun, unlike those of a target that ends before the first byte.
func TestHeadCutShort(t *testing.T) {
	cases := map[string]string{
		"length":       "HTTP/1.1 200 OK\r\nX-Echo: id\r\nContent-Length: 1\r\n\r\n",
		"chunks":       "HTTP/1.1 200 OK\r\nX-Echo: id\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no-framing":   "HTTP/1.1 200 OK\r\nX-Echo: id\r\nContent-Type: text/event-stream\r\n\r\n",
		"no-content":   "HTTP/1.1 204 No Content\r\nX-Echo: id\r\n\r\n",
		"other-status": "HTTP/1.1 500 Internal Server Error\r\nX-Echo: id\r\nContent-Length: 0\r\n\r\n",
	}
	for name, head := range cases {
		t.Run(name, func(t *testing.T) {
			for length := range len(head) {
				c := quicktest.New(t)
				target := newTarget(t, func(conn net.Conn, _ *http.Request, _, _ int) bool {
					_, _ = io.WriteString(conn, head[:length])
					return false
				})
				_, _, err := newLink(t).Exchange(context.Background(), newRequest(target.address, "id"))
				c.Assert(err, quicktest.IsNotNil, quicktest.Commentf("after %q", head[:length]))
				c.Assert(errors.Is(err, ErrBroken), quicktest.Equals, length > 0, quicktest.Commentf("%v after %q", err, head[:length]))
				c.Assert(IsNotSent(err), quicktest.IsFalse)
			}
		})
	}
}
