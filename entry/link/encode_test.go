package link

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestEncode(t *testing.T) {
	cases := map[string]struct {
		request Request
		length  int64 // length is that which the target reads.
		lines   int   // lines counts the headers that the target reads.
		err     error
	}{
		"get":                    {request: Request{Method: "GET", Path: "/a?b=%2F%20c", Host: "h"}, length: 0},
		"empty-post":             {request: Request{Method: "POST", Path: "/a", Host: "h"}, length: 0, lines: 1},
		"small-body":             {request: Request{Method: "POST", Path: "/a", Host: "h:80", Body: []byte("order")}, length: 5, lines: 1},
		"large-body":             {request: Request{Method: "PUT", Path: "/a", Host: "h", Body: bytes.Repeat([]byte("x"), 3*readSize)}, length: 3 * readSize, lines: 1},
		"raw-path-is-kept":       {request: Request{Method: "GET", Path: "//a/../b;c?%zz&d", Host: "h"}},
		"headers":                {request: Request{Method: "GET", Path: "/", Host: "h", Header: map[string][]string{"A": {"1", "2"}, "B": {""}}}, lines: 2},
		"line-in-a-value":        {request: Request{Method: "GET", Path: "/", Host: "h", Header: map[string][]string{"A": {"1\r\nB: 2"}}}, err: errUnsafe},
		"line-in-a-name":         {request: Request{Method: "GET", Path: "/", Host: "h", Header: map[string][]string{"A\nB": {"1"}}}, err: errUnsafe},
		"second-request-in-path": {request: Request{Method: "GET", Path: "/ HTTP/1.1\r\n\r\nGET /b", Host: "h"}, err: errUnsafe},
		"space-in-path":          {request: Request{Method: "GET", Path: "/a b", Host: "h"}, err: errUnsafe},
		"line-in-host":           {request: Request{Method: "GET", Path: "/", Host: "h\r\nX: y"}, err: errUnsafe},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			head, rest, err := encode(test.request)
			c.Assert(errors.Is(err, test.err), quicktest.IsTrue, quicktest.Commentf("%v", err))
			if test.err != nil {
				return
			}
			c.Assert(strings.HasPrefix(string(head), test.request.Method+" "+test.request.Path+" HTTP/1.1\r\n"), quicktest.IsTrue)
			if strings.Contains(test.request.Path, "%zz") {
				return // Go's own reader refuses such a path.
			}
			read, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(head), bytes.NewReader(rest))))
			c.Assert(err, quicktest.IsNil)
			body, err := io.ReadAll(read.Body)
			c.Assert(err, quicktest.IsNil)
			c.Assert(read.Host, quicktest.Equals, test.request.Host)
			c.Assert(read.RequestURI, quicktest.Equals, test.request.Path)
			c.Assert(read.ContentLength, quicktest.Equals, test.length)
			c.Assert(string(body), quicktest.Equals, string(test.request.Body))
			c.Assert(read.Header, quicktest.HasLen, test.lines)
			for name, values := range test.request.Header {
				c.Assert(read.Header[name], quicktest.DeepEquals, values)
			}
		})
	}
}
