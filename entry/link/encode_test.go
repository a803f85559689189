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
		request       Request
		contentLength int64
		headerCount   int // headers that the target reads, beside Host
		err           error
	}{
		"get":                    {request: Request{Method: "GET", Path: "/a?b=%2F%20c", Host: "h"}, contentLength: 0},
		"empty-post":             {request: Request{Method: "POST", Path: "/a", Host: "h"}, contentLength: 0, headerCount: 1},
		"small-body":             {request: Request{Method: "POST", Path: "/a", Host: "h:80", Body: []byte("order")}, contentLength: 5, headerCount: 1},
		"large-body":             {request: Request{Method: "PUT", Path: "/a", Host: "h", Body: bytes.Repeat([]byte("x"), 3*readBufferSize)}, contentLength: 3 * readBufferSize, headerCount: 1},
		"raw-path-is-kept":       {request: Request{Method: "GET", Path: "//a/../b;c?%zz&d", Host: "h"}},
		"headers":                {request: Request{Method: "GET", Path: "/", Host: "h", Header: map[string][]string{"A": {"1", "2"}, "B": {""}}}, headerCount: 2},
		"line-break-in-value":    {request: Request{Method: "GET", Path: "/", Host: "h", Header: map[string][]string{"A": {"1\r\nB: 2"}}}, err: errUnsafeChars},
		"line-break-in-name":     {request: Request{Method: "GET", Path: "/", Host: "h", Header: map[string][]string{"A\nB": {"1"}}}, err: errUnsafeChars},
		"second-request-in-path": {request: Request{Method: "GET", Path: "/ HTTP/1.1\r\n\r\nGET /b", Host: "h"}, err: errUnsafeChars},
		"space-in-path":          {request: Request{Method: "GET", Path: "/a b", Host: "h"}, err: errUnsafeChars},
		"line-break-in-host":     {request: Request{Method: "GET", Path: "/", Host: "h\r\nX: y"}, err: errUnsafeChars},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			head, rest, err := encodeRequest(test.request)
			c.Assert(errors.Is(err, test.err), quicktest.IsTrue, quicktest.Commentf("%v", err))
			if test.err != nil {
				return
			}
			c.Assert(strings.HasPrefix(string(head), test.request.Method+" "+test.request.Path+" HTTP/1.1\r\n"), quicktest.IsTrue)
			if strings.Contains(test.request.Path, "%zz") {
				return // http.ReadRequest rejects such a path.
			}
			parsed, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(head), bytes.NewReader(rest))))
			c.Assert(err, quicktest.IsNil)
			body, err := io.ReadAll(parsed.Body)
			c.Assert(err, quicktest.IsNil)
			c.Assert(parsed.Host, quicktest.Equals, test.request.Host)
			c.Assert(parsed.RequestURI, quicktest.Equals, test.request.Path)
			c.Assert(parsed.ContentLength, quicktest.Equals, test.contentLength)
			c.Assert(string(body), quicktest.Equals, string(test.request.Body))
			c.Assert(parsed.Header, quicktest.HasLen, test.headerCount)
			for name, values := range test.request.Header {
				c.Assert(parsed.Header[name], quicktest.DeepEquals, values)
			}
		})
	}
}
