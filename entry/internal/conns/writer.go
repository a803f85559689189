package conns

import (
	"fmt"
	"net/http"
	"sync/atomic"
)

// writer announces in the head of an answer that its connection closes if the server is leaving by then.
type writer struct {
	http.ResponseWriter
	leaving *atomic.Bool
}

// WriteHeader sends the head of the answer.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announceClose()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, after the head.
func (w *writer) Write(b []byte) (int, error) {
	w.announceClose()
	return w.ResponseWriter.Write(b)
}

// FlushError sends what is buffered, after the head.
func (w *writer) FlushError() error {
	w.announceClose()
	if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
		return fmt.Errorf("flush answer: %w", err)
	}
	return nil
}

// Unwrap returns the writer of net/http.
func (w *writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// announceClose has no effect once the head is sent.
func (w *writer) announceClose() {
	if w.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
}
