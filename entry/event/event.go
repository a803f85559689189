package event

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	bufferSize = 4 << 10   // size of the read buffer of a stream, in bytes
	maxSize    = 256 << 10 // largest event that is accepted, in bytes
)

// Errors of a stream that does not go on with an event.
var (
	ErrTooLarge = errors.New("event is too large")
	ErrForeign  = errors.New("line does not belong to an event")
)

// Event is one whole event of a stream as it was received; Raw is valid until the next event is read.
type Event struct {
	Raw []byte
	ID  string
}

// Reader reads a stream event by event.
type Reader struct {
	r   *bufio.Reader
	raw []byte // last event; the next one reuses its memory
}

// NewReader returns a reader of the stream in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferSize)}
}

// Next returns the next whole event, io.EOF at the end of the stream, or io.ErrUnexpectedEOF if it ends within an
// event. Blank lines and comments before an event are part of its bytes but not events of their own: a stalled target
// may send them forever. A line that belongs to no event, such as the head of another response, is ErrForeign.
func (r *Reader) Next() (Event, error) {
	e := Event{Raw: r.raw[:0]}
	defer func() { r.raw = e.Raw }()
	fields, lineStart := fieldOrder{}, 0
	for {
		part, err := r.r.ReadSlice('\n')
		e.Raw = append(e.Raw, part...)
		line := bytes.TrimRight(e.Raw[lineStart:], "\r\n")
		switch {
		case err == bufio.ErrBufferFull && len(e.Raw) <= maxSize:
			continue
		case err == io.EOF && (fields.begun || len(bytes.TrimSpace(line)) > 0):
			return Event{}, io.ErrUnexpectedEOF
		case err != nil && err != bufio.ErrBufferFull:
			return Event{}, err
		case len(e.Raw) > maxSize:
			return Event{}, ErrTooLarge
		}
		var ok bool
		if fields, ok = fields.withLine(e.Raw[lineStart:]); !ok {
			return Event{}, ErrForeign
		}
		lineStart = len(e.Raw)
		if len(line) == 0 && fields.begun {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(value))
		}
	}
}

// fieldOrder tells which lines may follow in an event.
type fieldOrder struct {
	begun    bool // whether the event has a field
	standard bool // whether the event has a field that the format defines
	returns  bool // whether lines from the first field on end with a carriage return
}

// withLine returns the order after one line with its end, or false if the line cannot follow. Fields of targets' own,
// in lower case, come before those that the format defines, and all lines of one event end alike: the head of another
// response within an event is told by its lines.
func (f fieldOrder) withLine(line []byte) (fieldOrder, bool) {
	text, returns := bytes.CutSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	if f.begun && returns != f.returns {
		return f, false
	}
	if len(text) == 0 {
		return f, !f.begun || f.standard
	}
	name, _, hasValue := bytes.Cut(text, []byte(":"))
	if len(name) == 0 {
		return f, true
	}
	standard := isStandardField(name)
	next := fieldOrder{begun: true, standard: f.standard || standard, returns: returns}
	return next, standard || hasValue && !f.standard && isLowerCase(name)
}

// isStandardField reports whether the format of event streams defines a field.
func isStandardField(name []byte) bool {
	switch string(name) {
	case "data", "event", "id", "retry":
		return true
	default:
		return false
	}
}

// isLowerCase reports whether a name consists of lower-case letters, digits and hyphens.
func isLowerCase(name []byte) bool {
	for _, b := range name {
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') && b != '-' {
			return false
		}
	}
	return true
}
