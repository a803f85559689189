package flight

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	eventBuffer = 4 << 10   // eventBuffer is the read buffer of a stream, in bytes.
	maxEvent    = 256 << 10 // maxEvent bounds one event, in bytes.
)

// errEvent is returned for an event over the bound.
var errEvent = errors.New("event is too large")

// event is one whole event of a stream as it arrived; it is valid until the next one is read.
type event struct {
	raw []byte
	id  string
}

// events reads whole events from a stream.
type events struct {
	r   *bufio.Reader
	raw []byte // raw holds the event that was read last.
}

// newEvents returns a reader of events.
func newEvents(r io.Reader) *events {
	return &events{r: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next whole event; io.EOF says that the stream ended after one, io.ErrUnexpectedEOF that it was cut within one.
func (e *events) next() (event, error) {
	ev := event{raw: e.raw[:0]}
	defer func() { e.raw = ev.raw }()
	for {
		line, err := e.r.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		switch {
		case err == bufio.ErrBufferFull && len(ev.raw) <= maxEvent:
			continue
		case err == io.EOF && len(bytes.TrimSpace(ev.raw)) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		case len(ev.raw) > maxEvent:
			return event{}, errEvent
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(field, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(value))
		}
	}
}

// follows tells whether an event comes next after the last one; events without a number are not checked.
func follows(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if last == "" || err != nil {
		return true
	}
	now, err := strconv.ParseInt(id, 10, 64)
	return err != nil || now == before+1
}
