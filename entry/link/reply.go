package link

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"bramleywharf.example/core/quota"
)

// Reply is a response whose head has been read.
type Reply struct {
	link          *Link
	address       string
	maxIdle       int // bound on the idle connections to the target, or 0
	conn          *conn
	response      *http.Response
	account       *quota.Account // account of the request, for a body that is read whole, or nil
	writeResult   chan error     // gets the result of writing the request
	detachContext func() bool    // keeps the context from closing the connection; false if it has done so
	closed        bool
}

// Close closes the connection unless the whole body was read.
func (r *Reply) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.detachContext()
	_ = r.conn.Close()
}

// Delimited reports whether the response tells where its body ends, so that a body that breaks off never looks whole.
func (r *Reply) Delimited() bool {
	return r.response.ContentLength >= 0 || len(r.response.TransferEncoding) > 0
}

// Header returns the headers of the response.
func (r *Reply) Header() http.Header {
	return r.response.Header
}

// Read reads from the body. It returns io.EOF only after a complete body.
func (r *Reply) Read(b []byte) (int, error) {
	n, err := r.response.Body.Read(b)
	if err != io.EOF {
		return n, err
	}
	if err := r.confirmEnd(); err != nil {
		return n, err
	}
	r.releaseConn()
	return n, io.EOF
}

// confirmEnd returns an error if the end of the stream may stand for a reset. A body that does not tell where it ends ends
// with the connection. If the target resets the connection while the request is still being written, the write gets the
// error, and reads after it see the end of the stream. The result of the write therefore decides.
func (r *Reply) confirmEnd() error {
	if r.Delimited() || r.response.Body == http.NoBody {
		return nil
	}
	err := <-r.writeResult
	r.writeResult <- err
	if err != nil {
		return fmt.Errorf("%w: connection ended while the request was sent: %w", ErrBroken, err)
	}
	return nil
}

// SetReadDeadline sets the deadline for reads of the body.
func (r *Reply) SetReadDeadline(t time.Time) error {
	return r.conn.SetReadDeadline(t)
}

// Status returns the status code of the response.
func (r *Reply) Status() int {
	return r.response.StatusCode
}

// Whole reads the body and closes the reply. It returns ErrBroken if the body is incomplete, malformed or over
// maxBodySize.
func (r *Reply) Whole() ([]byte, error) {
	defer r.Close()
	body, err := r.readBody()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if err := r.confirmEnd(); err != nil {
		return nil, err
	}
	if len(body) > maxBodySize {
		return nil, fmt.Errorf("%w: over %d bytes", ErrBroken, maxBodySize)
	}
	r.releaseConn()
	return body, nil
}

// WithBody returns the result of a send and the whole body of its response. Its errors are that of the send and ErrBroken.
func WithBody(reply *Reply, err error) (*Reply, []byte, error) {
	if err != nil {
		return nil, nil, err
	}
	body, err := reply.Whole()
	if err != nil {
		return nil, nil, err
	}
	return reply, body, nil
}

// readBody reads the body into one buffer, and no more than one byte over maxBodySize.
func (r *Reply) readBody() ([]byte, error) {
	return quota.ReadAll(io.LimitReader(r.response.Body, maxBodySize+1), r.response.ContentLength, r.account)
}

// releaseConn keeps the connection for the next request, or closes it if it cannot be reused.
func (r *Reply) releaseConn() {
	if r.closed {
		return
	}
	r.closed = true
	reusable := r.detachContext()
	select {
	case err := <-r.writeResult:
		reusable = reusable && err == nil
	default:
		reusable = false
	}
	if !reusable || r.response.Close || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.link.putIdle(r.address, r.conn, r.response.Header, r.maxIdle)
}
