package conns

import (
	"fmt"
	"net/http"
	"time"
)

// reuseMargin is the part of the idle limit in which callers no longer reuse a connection. The limit runs from the end
// of the answer here, and a caller counts from its arrival there; a request also takes its time on the way.
const reuseMargin = 2 * time.Second

// writer announces in the head of an answer how long its connection may be reused, or that it closes if the server is
// leaving by then.
type writer struct {
	http.ResponseWriter
	server    *Server
	conn      *conn
	announced bool
}

// WriteHeader sends the head of the answer.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, after the head.
func (w *writer) Write(b []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(b)
}

// FlushError sends what is buffered, after the head.
func (w *writer) FlushError() error {
	w.announce()
	if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
		return fmt.Errorf("flush answer: %w", err)
	}
	return nil
}

// Unwrap returns the writer of net/http.
func (w *writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// announce has no effect once the head is sent.
func (w *writer) announce() {
	if w.announced {
		return
	}
	w.announced = true
	if w.server.leaving.Load() {
		w.conn.announced = 0
		w.Header().Del("Keep-Alive")
		// The next request has been read or would be reset with its connection, so its answer ends the connection.
		if !w.conn.hasNext() {
			w.Header().Set("Connection", "close")
		}
		return
	}
	w.conn.announced = w.server.settings.IdleLimit()
	if seconds := reuseTime(w.conn.announced) / time.Second; seconds > 0 {
		w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", seconds))
	}
}

// reuseTime returns how long a caller may reuse an idle connection under an idle limit, or 0 if it is not to be told.
func reuseTime(limit time.Duration) time.Duration {
	return max(limit-reuseMargin, limit/2)
}
