package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bramleywharf.example/core/flow"
	"bramleywharf.example/entry/chain"
)

// writeTimeout bounds each write to a caller, so that one that stops reading is treated as gone.
const writeTimeout = 15 * time.Second

// reconnectMillis is the time in milliseconds that EventSource clients wait before they reconnect.
const reconnectMillis = 200

// stream is a sink that writes a generation as server-sent events. It sends nothing before the first token or
// heartbeat, so that a refusal before that can still be a response with its own status code.
type stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	event   completion // event is the body of the next event; only its choice changes.
	begun   bool
}

var _ chain.Sink = (*stream)(nil)

// newStream returns a stream to which nothing has been written.
func newStream(w http.ResponseWriter, id, model string) *stream {
	return &stream{
		w:       w,
		control: http.NewResponseController(w),
		event:   completion{ID: id, Object: "text_completion", Model: model, Choices: make([]choice, 1)},
	}
}

// Heartbeat writes a comment, which clients ignore.
func (s *stream) Heartbeat() error {
	s.begin()
	if _, err := s.w.Write([]byte(": heartbeat\n\n")); err != nil {
		return fmt.Errorf("write heartbeat: %w", err)
	}
	return s.flush()
}

// Token writes one token as an event with its id.
func (s *stream) Token(id string, t flow.Token) error {
	s.begin()
	s.event.Choices[0].Text = t.Text
	data, err := json.Marshal(s.event)
	if err != nil {
		return fmt.Errorf("encode token: %w", err)
	}
	if _, err := fmt.Fprintf(s.w, "id: %s\ndata: %s\n\n", id, data); err != nil {
		return fmt.Errorf("write token: %w", err)
	}
	return s.flush()
}

// begin sets the response headers and writes the reconnection time, once.
func (s *stream) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	_, _ = fmt.Fprintf(s.w, "retry: %d\n", reconnectMillis)
}

// finish writes the finish reason and the end marker, or an error event if the answer is a refusal. If the stream
// has not begun, any answer but Streamed is written as an unstreamed response.
func (s *stream) finish(answer chain.Answer) {
	if !s.begun {
		if _, ok := answer.(chain.Streamed); !ok {
			writeAnswer(s.w, answer)
			return
		}
	}
	s.begin()
	switch a := answer.(type) {
	case chain.Streamed:
		s.event.Choices[0] = choice{FinishReason: &a.Reason}
		data, _ := json.Marshal(s.event)
		_, _ = fmt.Fprintf(s.w, "data: %s\n\ndata: [DONE]\n\n", data)
	case chain.Refused:
		data, _ := json.Marshal(problemOf(a.Refusal))
		_, _ = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", data)
	}
	_ = s.flush()
}

// flush sends what was written, within writeTimeout.
func (s *stream) flush() error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("send to caller: %w", err)
	}
	return nil
}

// collector is a sink that collects the text of a generation for an unstreamed response.
type collector struct {
	text strings.Builder
}

var _ chain.Sink = (*collector)(nil)

// Heartbeat does nothing, since an unstreamed response cannot send anything before it is complete.
func (c *collector) Heartbeat() error {
	return nil
}

// Token adds the text of one token.
func (c *collector) Token(_ string, t flow.Token) error {
	_, err := c.text.WriteString(t.Text)
	return err
}
