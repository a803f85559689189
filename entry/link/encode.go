package link

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const headSizeHint = 512 // bytes allocated for the head of a request; most heads fit

// errUnsafeChars is returned for a request that its target could read as another request.
var errUnsafeChars = errors.New("request line or header contains unsafe characters")

// encodeRequest returns the head of a request, with path and headers exactly as given, and the body that is to be
// sent after it. A small body is part of head, so that one write sends both, and rest is nil.
func encodeRequest(r Request) (head, rest []byte, err error) {
	if endsHeaderLine(r.Method) || endsHeaderLine(r.Path) || endsHeaderLine(r.Host) || strings.ContainsAny(r.Method+r.Path+r.Host, " \t") {
		return nil, nil, fmt.Errorf("%s %q: %w", r.Method, r.Path, errUnsafeChars)
	}
	size := headSizeHint
	if len(r.Body) <= readBufferSize {
		size += len(r.Body)
	}
	head = make([]byte, 0, size)
	head = append(append(append(append(head, r.Method...), ' '), r.Path...), " HTTP/1.1\r\nHost: "...)
	head = append(append(head, r.Host...), "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			if endsHeaderLine(name) || endsHeaderLine(value) {
				return nil, nil, fmt.Errorf("header %q: %w", name, errUnsafeChars)
			}
			head = append(append(append(append(head, name...), ": "...), value...), "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head = append(strconv.AppendInt(append(head, "Content-Length: "...), int64(len(r.Body)), 10), "\r\n"...)
	}
	head = append(head, "\r\n"...)
	if len(r.Body) <= readBufferSize {
		return append(head, r.Body...), nil, nil
	}
	return head, r.Body, nil
}

// endsHeaderLine reports whether a text contains a character at which a target may end a header line.
func endsHeaderLine(text string) bool {
	return strings.ContainsAny(text, "\r\n\x00")
}
