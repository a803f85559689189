package flight

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	eventBufferSize = 4 << 10   // size of the read buffer of a stream, in bytes
	maxEventSize    = 256 << 10 // largest event that is accepted, in bytes
)

// errEventTooLarge is returned for an event over maxEventSize.
var errEventTooLarge = errors.New("event is too large")

// event is one whole event of a stream as it was received; raw is valid until the next event is read.
type event struct {
	raw []byte
	id  string
}

// eventReader reads a stream event by event.
type eventReader struct {
	r   *bufio.Reader
	raw []byte // last event; the next one reuses its memory
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferSize)}
}

// next returns the next whole event, io.EOF at the end of the stream, or io.ErrUnexpectedEOF if it ends within an
// event. Blank lines and comments before an event are part of its bytes but not events of their own: a stalled target
// may send them forever.
func (e *eventReader) next() (event, error) {
	ev := event{raw: e.raw[:0]}
	defer func() { e.raw = ev.raw }()
	hasFields, lineStart := false, 0
	for {
		part, err := e.r.ReadSlice('\n')
		ev.raw = append(ev.raw, part...)
		line := bytes.TrimRight(ev.raw[lineStart:], "\r\n")
		switch {
		case err == bufio.ErrBufferFull && len(ev.raw) <= maxEventSize:
			continue
		case err == io.EOF && (hasFields || len(bytes.TrimSpace(line)) > 0):
			return event{}, io.ErrUnexpectedEOF
		case err != nil && err != bufio.ErrBufferFull:
			return event{}, err
		case len(ev.raw) > maxEventSize:
			return event{}, errEventTooLarge
		}
		lineStart = len(ev.raw)
		if len(line) == 0 && hasFields {
			return ev, nil
		}
		hasFields = hasFields || len(line) > 0 && line[0] != ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(value))
		}
	}
}

// isNextEvent reports whether the number in an event's id is that of the last one plus 1. It is true if there is no
// last event or either id is not a number.
func isNextEvent(lastID, id string) bool {
	lastNumber, err := strconv.ParseInt(lastID, 10, 64)
	if lastID == "" || err != nil {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err != nil || number == lastNumber+1
}
