package link

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// Reply is a response whose body is still on its way.
type Reply struct {
	link     *Link
	address  string
	idle     int // idle bounds the idle connections to the target, or is 0.
	conn     *conn
	response *http.Response
	written  chan error
	unhook   func() bool
	closed   bool
}

// Close closes the connection, unless the whole response was read.
func (r *Reply) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.unhook()
	_ = r.conn.Close()
}

// Header returns the headers of the response.
func (r *Reply) Header() http.Header {
	return r.response.Header
}

// Read reads the body; io.EOF says that it is whole.
func (r *Reply) Read(b []byte) (int, error) {
	n, err := r.response.Body.Read(b)
	if err == io.EOF {
		r.finish()
	}
	return n, err
}

// SetReadDeadline bounds the next reads.
func (r *Reply) SetReadDeadline(t time.Time) error {
	return r.conn.SetReadDeadline(t)
}

// Status returns the status of the response.
func (r *Reply) Status() int {
	return r.response.StatusCode
}

// Whole reads the rest of the response and returns its body, or an error when it is cut short.
func (r *Reply) Whole() ([]byte, error) {
	defer r.Close()
	body, err := r.rest()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if len(body) > maxWhole {
		return nil, fmt.Errorf("%w: over %d bytes", ErrBroken, maxWhole)
	}
	r.finish()
	return body, nil
}

// rest reads what is left of the body, at once where its length is known and within the bound.
func (r *Reply) rest() ([]byte, error) {
	length := r.response.ContentLength
	if length < 0 || length > maxWhole {
		return io.ReadAll(io.LimitReader(r.response.Body, maxWhole+1))
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r.response.Body, body)
	return body, err
}

// finish keeps the connection if nothing is left on it, or closes it.
func (r *Reply) finish() {
	if r.closed {
		return
	}
	r.closed = true
	live := r.unhook()
	select {
	case err := <-r.written:
		live = live && err == nil
	default:
		live = false
	}
	if !live || r.response.Close || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.link.put(r.address, r.conn, r.response.Header, r.idle)
}
