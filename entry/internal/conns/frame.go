package conns

import (
	"net"
	"sync/atomic"
)

// framer reads a connection no further than to the end of a head or body, and holds back what has arrived beyond it. So
// it knows whether bytes of a request after the one in hand have been read. Reads come one at a time.
type framer struct {
	part  part         // part is what is read next; nil stands for a new head.
	held  []byte       // held is what was read beyond the part before.
	ahead atomic.Int64 // ahead is the number of bytes of later requests that are held or were handed over.
}

// part is the sealed set of parts of the bytes on a connection: header, content and unframed.
type part interface {
	isPart()
}

// header is the head of a request, which ends with an empty line.
type header struct {
	line lineState
}

// content is a body of which some bytes are left.
type content struct {
	left int64
}

// unframed is all that follows the head of a request whose body has no stated length.
type unframed struct{}

func (header) isPart()   {}
func (content) isPart()  {}
func (unframed) isPart() {}

// lineState tells where in a line a head has been read to.
type lineState int

const (
	inLine      lineState = iota // inLine is within a line, or before the first.
	atLineStart                  // atLineStart is behind a line feed.
	afterReturn                  // afterReturn is behind a line feed and a carriage return.
)

// read reads bytes of one part, from a connection or from what is held.
func (f *framer) read(raw net.Conn, b []byte) (int, error) {
	if c, ok := f.part.(content); ok {
		b = b[:min(int64(len(b)), c.left)]
	}
	if len(f.held) > 0 {
		n, endsHead := f.take(b[:copy(b, f.held)])
		f.held = f.held[n:]
		if endsHead {
			f.ahead.Store(int64(len(f.held)))
		}
		return n, nil
	}
	count, err := raw.Read(b)
	if count == 0 {
		return 0, err
	}
	if _, isHead := f.part.(header); isHead || f.part == nil {
		f.ahead.Add(int64(count))
	}
	n, endsHead := f.take(b[:count])
	f.held = append(f.held[:0], b[n:count]...)
	if endsHead {
		f.ahead.Store(int64(len(f.held)))
	}
	return n, err
}

// take moves the part on by bytes that were read. It returns how many of them belong to the part, and whether a head
// ends with them.
func (f *framer) take(b []byte) (n int, endsHead bool) {
	switch p := f.part.(type) {
	case unframed:
		return len(b), false
	case content:
		f.part = nil
		if left := p.left - int64(len(b)); left > 0 {
			f.part = content{left: left}
		}
		return len(b), false
	case header:
		return f.takeHead(p, b)
	default:
		return f.takeHead(header{}, b)
	}
}

// takeHead is take for a head.
func (f *framer) takeHead(h header, b []byte) (n int, endsHead bool) {
	for i, c := range b {
		switch {
		case c == '\n' && h.line != inLine:
			f.part = nil
			return i + 1, true
		case c == '\n':
			h.line = atLineStart
		case c == '\r' && h.line == atLineStart:
			h.line = afterReturn
		default:
			h.line = inLine
		}
	}
	f.part = h
	return len(b), false
}

// expectBody announces the body of the request whose head was read last; a negative length is not known. It must be
// called before any byte of the body is read.
func (f *framer) expectBody(length int64) {
	if length == 0 {
		return // The next head may be read already.
	}
	if _, isUnframed := f.part.(unframed); isUnframed {
		return
	}
	if length < 0 {
		f.part = unframed{}
		f.ahead.Store(0)
		return
	}
	f.part = content{left: length}
	f.ahead.Store(max(0, int64(len(f.held))-length))
}
