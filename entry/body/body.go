package body

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"bramleywharf.example/core/quota"
	"github.com/pkg/errors"
)

// Read returns the whole body of a request. It takes the memory from the account in the request's context, if there is
// one, and reads until a deadline, since a caller may send a byte now and then, or until the request's context ends.
//
// The error is a *http.MaxBytesError for a body over limit bytes, quota.ErrExhausted if the requests in progress hold too
// much memory, and the cause if the context was ended with one.
func Read(w http.ResponseWriter, r *http.Request, limit int, deadline time.Time) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		// Without it, net/http reads up to 256 KiB of the body before it sends the answer.
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: int64(limit)}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set read deadline of a body: %w", err)
	}
	detach := context.AfterFunc(r.Context(), func() { _ = controller.SetReadDeadline(time.Now()) })
	defer detach()
	content, err := quota.ReadAll(Bound(w, r, int64(limit)), r.ContentLength, quota.FromContext(r.Context()))
	// A read that fails cancels the context too, without a cause of its own.
	if cause := context.Cause(r.Context()); err != nil && cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	// From here on the connection is read only to notice that the caller has left, which has no deadline.
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("reset read deadline: %w", err)
	}
	return content, nil
}

// Bound returns the body of a request, which fails with a *http.MaxBytesError over limit bytes. The connection is then
// closed after the answer, which MaxBytesReader does only for the writer of net/http itself.
func Bound(w http.ResponseWriter, r *http.Request, limit int64) io.ReadCloser {
	for {
		outer, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return http.MaxBytesReader(w, r.Body, limit)
		}
		w = outer.Unwrap()
	}
}
