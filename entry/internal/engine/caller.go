package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"bramleywharf.example/entry/link"
	"github.com/pkg/errors"
)

// Errors of calls to plain services.
var (
	ErrNotSent = errors.New("nothing was sent to the service")
	ErrUnknown = errors.New("the service may have executed the call")
)

// MaxAnswer bounds the body of a service's response, in bytes.
const MaxAnswer = 256 << 10

// KeyHeader is the header that carries the key of a non-idempotent call to the service.
const KeyHeader = "X-Order-Key"

// Call is a call to a plain service.
type Call struct {
	Method      string
	Path        string
	Key         string
	ContentType string
	Body        []byte
}

// Result is a service's response.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
}

// Caller calls plain services at their addresses. Implementations never send a call twice and are safe for concurrent
// use.
type Caller interface {
	// Call sends a call once; an error wraps ErrNotSent or ErrUnknown.
	Call(ctx context.Context, address string, c Call) (Result, error)
}

// HTTPCaller calls plain services over net/http.
type HTTPCaller struct {
	transport *http.Transport
}

var _ Caller = (*HTTPCaller)(nil)

// dialError is a failure to connect, before anything was sent.
type dialError struct {
	cause error
}

// Error describes the failure.
func (d dialError) Error() string {
	return "connect: " + d.cause.Error()
}

// Unwrap returns the cause.
func (d dialError) Unwrap() error {
	return d.cause
}

// NewCaller returns a caller that connects with dial, or over TCP if dial is nil.
//
// Every call uses its own connection. net/http resends a request only when a
// reused connection turns out to be closed or when it follows a redirect, and
// neither can happen here.
func NewCaller(dial func(ctx context.Context, network, address string) (net.Conn, error)) *HTTPCaller {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	dialMarked := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, dialError{cause: err}
		}
		return conn, nil
	}
	return &HTTPCaller{transport: newTransport(dialMarked, false)}
}

// Call sends a call once over its own connection.
func (h *HTTPCaller) Call(ctx context.Context, address string, c Call) (Result, error) {
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return Result{}, fmt.Errorf("%w: build request: %w", ErrNotSent, err)
	}
	request.GetBody = nil
	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { written <- info.Err }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	if c.ContentType != "" {
		request.Header.Set("Content-Type", c.ContentType)
	}
	if c.Key != "" {
		request.Header.Set(KeyHeader, c.Key)
	}
	response, err := h.transport.RoundTrip(request)
	if err != nil {
		return Result{}, fmt.Errorf("%w: %w", classifySendError(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswer+1))
	if err != nil {
		return Result{}, fmt.Errorf("%w: read response: %w", ErrUnknown, err)
	}
	if len(body) > MaxAnswer {
		return Result{}, fmt.Errorf("%w: response is over %d bytes", ErrUnknown, MaxAnswer)
	}
	if !link.IsFinalStatus(response.StatusCode) {
		return Result{}, fmt.Errorf("%w: status %03d", ErrUnknown, response.StatusCode)
	}
	if err := confirmEnd(ctx, response, written); err != nil {
		return Result{}, fmt.Errorf("%w: connection ended while the call was sent: %w", ErrUnknown, err)
	}
	return Result{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// confirmEnd returns an error if the end of a body that does not tell where it ends may stand for a reset: while the request
// is being written, the write gets the error of the reset, and reads after it see the end of the stream.
func confirmEnd(ctx context.Context, response *http.Response, written <-chan error) error {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody {
		return nil
	}
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// classifySendError returns ErrNotSent if a failed round trip sent nothing for sure, and ErrUnknown otherwise.
func classifySendError(err error) error {
	var d dialError
	if errors.As(err, &d) {
		return ErrNotSent
	}
	return ErrUnknown
}
