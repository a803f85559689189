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

// writeBound is the time after which a caller that takes nothing is given up.
const writeBound = 15 * time.Second

// retryHint is what EventSource clients wait before they connect again, in milliseconds.
const retryHint = 200

// stream writes a generation as server-sent events; the response begins with the first token.
type stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	piece   completion
	begun   bool
}

var _ chain.Sink = (*stream)(nil)

// newStream returns a stream of a completion that has not begun.
func newStream(w http.ResponseWriter, id, model string) *stream {
	return &stream{
		w:       w,
		control: http.NewResponseController(w),
		piece:   completion{ID: id, Object: "text_completion", Model: model, Choices: make([]choice, 1)},
	}
}

// Heartbeat writes a comment, which clients pass over.
func (s *stream) Heartbeat() error {
	s.begin()
	if _, err := s.w.Write([]byte(": heartbeat\n\n")); err != nil {
		return fmt.Errorf("write heartbeat: %w", err)
	}
	return s.flush()
}

// Token writes one token with its id.
func (s *stream) Token(id string, t flow.Token) error {
	s.begin()
	s.piece.Choices[0].Text = t.Text
	data, err := json.Marshal(s.piece)
	if err != nil {
		return fmt.Errorf("encode token: %w", err)
	}
	if _, err := fmt.Fprintf(s.w, "id: %s\ndata: %s\n\n", id, data); err != nil {
		return fmt.Errorf("write token: %w", err)
	}
	return s.flush()
}

// begin writes the head of the response once.
func (s *stream) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	_, _ = fmt.Fprintf(s.w, "retry: %d\n", retryHint)
}

// finish writes the end of the stream, or a refusal in its place.
func (s *stream) finish(answer chain.Answer) {
	if !s.begun {
		if _, ok := answer.(chain.Streamed); !ok {
			write(s.w, answer)
			return
		}
	}
	s.begin()
	switch a := answer.(type) {
	case chain.Streamed:
		s.piece.Choices[0] = choice{FinishReason: &a.Reason}
		data, _ := json.Marshal(s.piece)
		_, _ = fmt.Fprintf(s.w, "data: %s\n\ndata: [DONE]\n\n", data)
	case chain.Refused:
		data, _ := json.Marshal(problemOf(a.Refusal))
		_, _ = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", data)
	}
	_ = s.flush()
}

// flush sends what is written, within a bound.
func (s *stream) flush() error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeBound))
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("send to caller: %w", err)
	}
	return nil
}

// collector gathers a generation in memory.
type collector struct {
	text strings.Builder
}

var _ chain.Sink = (*collector)(nil)

// Heartbeat does nothing, since a whole answer cannot show life before it is there.
func (c *collector) Heartbeat() error {
	return nil
}

// Token adds one token.
func (c *collector) Token(_ string, t flow.Token) error {
	_, err := c.text.WriteString(t.Text)
	return err
}
