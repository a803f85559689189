package link

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const headSize = 512 // headSize is the room kept for the head of a request beside its body, in bytes; most heads fit.

// errUnsafe is returned for a request that would read as another one.
var errUnsafe = errors.New("request holds characters that end a line")

// encode returns the head of a request, its target and headers as given, and what of its body has to be sent after it: small bodies are part of the first write.
func encode(r Request) (head, rest []byte, err error) {
	if endsLine(r.Method) || endsLine(r.Path) || endsLine(r.Host) || strings.ContainsAny(r.Method+r.Path+r.Host, " \t") {
		return nil, nil, fmt.Errorf("%s %q: %w", r.Method, r.Path, errUnsafe)
	}
	size := headSize
	if len(r.Body) <= readSize {
		size += len(r.Body)
	}
	head = make([]byte, 0, size)
	head = append(append(append(append(head, r.Method...), ' '), r.Path...), " HTTP/1.1\r\nHost: "...)
	head = append(append(head, r.Host...), "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			if endsLine(name) || endsLine(value) {
				return nil, nil, fmt.Errorf("header %q: %w", name, errUnsafe)
			}
			head = append(append(append(append(head, name...), ": "...), value...), "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head = append(strconv.AppendInt(append(head, "Content-Length: "...), int64(len(r.Body)), 10), "\r\n"...)
	}
	head = append(head, "\r\n"...)
	if len(r.Body) <= readSize {
		return append(head, r.Body...), nil, nil
	}
	return head, r.Body, nil
}

// endsLine tells whether a text would end a line of a head, or the head.
func endsLine(text string) bool {
	return strings.ContainsAny(text, "\r\n\x00")
}
