package event

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	bufferSize = 4 << 10   // size of the read buffer of a stream, in bytes
	maxSize    = 256 << 10 // largest event that is accepted, in bytes
)

// ErrTooLarge is returned for an event over the bound on its size.
var ErrTooLarge = errors.New("event is too large")

// Event is one whole event of a stream as it was received.
type Event struct {
	Raw []byte // Raw is valid until the next event is read.
	ID  string
}

// Reader reads a stream event by event.
type Reader struct {
	r   *bufio.Reader
	raw []byte // last event; the next one reuses its memory
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferSize)}
}

// Next returns the next whole event, io.EOF at the end of the stream, or io.ErrUnexpectedEOF if it ends within an
// event. Blank lines and comments before an event are part of its bytes but not events of their own: a stalled target
// may send them forever.
func (e *Reader) Next() (Event, error) {
	ev := Event{Raw: e.raw[:0]}
	defer func() { e.raw = ev.Raw }()
	hasFields, lineStart := false, 0
	for {
		part, err := e.r.ReadSlice('\n')
		ev.Raw = append(ev.Raw, part...)
		line := bytes.TrimRight(ev.Raw[lineStart:], "\r\n")
		switch {
		case err == bufio.ErrBufferFull && len(ev.Raw) <= maxSize:
			continue
		case err == io.EOF && (hasFields || len(bytes.TrimSpace(line)) > 0):
			return Event{}, io.ErrUnexpectedEOF
		case err != nil && err != bufio.ErrBufferFull:
			return Event{}, err
		case len(ev.Raw) > maxSize:
			return Event{}, ErrTooLarge
		}
		lineStart = len(ev.Raw)
		if len(line) == 0 && hasFields {
			return ev, nil
		}
		hasFields = hasFields || len(line) > 0 && line[0] != ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.ID = string(bytes.TrimSpace(value))
		}
	}
}

// Follows reports whether the number in an event's id is that of the last one plus 1. It is true if there is no
// last event or either id is not a number.
func Follows(lastID, id string) bool {
	lastNumber, err := strconv.ParseInt(lastID, 10, 64)
	if lastID == "" || err != nil {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err != nil || number == lastNumber+1
}
